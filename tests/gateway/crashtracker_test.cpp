#include "gateway/crashtracker.h"

#include <gtest/gtest.h>

#include <vector>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class CrashTrackerTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    /// A non-repeatable request arrives at one node after the other and crashes an engine at each. @p told: nodes share
    /// their counts. Returns the number of crashed engines.
    unsigned crashesOverNodes(std::size_t nodes, bool told)
    {
        std::vector<CrashTracker> books(nodes);
        unsigned crashes = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            if (books[node].isPoison("f")) {
                continue;
            }
            ++crashes;
            const auto count = books[node].recordCrash("f", "e" + std::to_string(node), false, at(0s));
            for (auto &book : books) {
                if (count && told) {
                    book.recordShared("f", *count);
                }
            }
        }
        return crashes;
    }

    CrashTracker m_book;
};

TEST_F(CrashTrackerTest, request_threeEnginesFell_isCondemned)
{
    m_book.recordCrash("f", "e1", true, at(0s));
    m_book.recordCrash("f", "e2", true, at(1s));
    EXPECT_FALSE(m_book.isPoison("f"));
    m_book.recordCrash("f", "e3", true, at(2s));
    EXPECT_TRUE(m_book.isPoison("f"));
}

TEST_F(CrashTrackerTest, sameEngine_lostTwice_countsOnce)
{
    m_book.recordCrash("f", "e1", true, at(0s));
    m_book.recordCrash("f", "e1", true, at(1s));
    m_book.recordCrash("f", "e1", true, at(2s));
    EXPECT_FALSE(m_book.isPoison("f"));
}

TEST_F(CrashTrackerTest, request_answeredMeanwhile_isInnocent)
{
    m_book.recordCrash("f", "e1", true, at(0s));
    m_book.recordCrash("f", "e2", true, at(0s));
    m_book.recordAnswered("f");
    m_book.recordCrash("f", "e3", true, at(1s));
    EXPECT_FALSE(m_book.isPoison("f"));
}

TEST_F(CrashTrackerTest, manyRequestsOfOneEngine_noneIsTold)
{
    for (int i = 0; i < 64; ++i) {
        EXPECT_FALSE(m_book.recordCrash("f" + std::to_string(i), "e1", true, at(0s)));
    }
}

TEST_F(CrashTrackerTest, requestAtEveryNode_nodesTellEachOther_threeEnginesFall)
{
    EXPECT_EQ(crashesOverNodes(7, true), CrashTracker::poisonThreshold);
    EXPECT_EQ(crashesOverNodes(7, false), 7U);
}

TEST_F(CrashTrackerTest, fingerprint_tellsWorkspacePathAndBodyApart)
{
    const auto one = CrashTracker::fingerprintOf("w", "/a", "b");
    EXPECT_EQ(one, CrashTracker::fingerprintOf("w", "/a", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("x", "/a", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("w", "/b", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("w", "/a", "c"));
}

} // namespace ibisfork::gateway
