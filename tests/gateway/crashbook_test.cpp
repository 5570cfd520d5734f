#include "gateway/crashbook.h"

#include <gtest/gtest.h>

#include <vector>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class CrashBookTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    /// A non-repeatable request arrives at one node after the other and crashes an engine at each. @p told: nodes share
    /// their counts. Returns the number of crashed engines.
    unsigned crashesOverNodes(std::size_t nodes, bool told)
    {
        std::vector<CrashBook> books(nodes);
        unsigned crashes = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            if (books[node].condemned("f")) {
                continue;
            }
            ++crashes;
            const auto count = books[node].noteCrash("f", "e" + std::to_string(node), false, at(0s));
            for (auto &book : books) {
                if (count && told) {
                    book.noteShared("f", *count);
                }
            }
        }
        return crashes;
    }

    CrashBook m_book;
};

TEST_F(CrashBookTest, request_threeEnginesFell_isCondemned)
{
    m_book.noteCrash("f", "e1", true, at(0s));
    m_book.noteCrash("f", "e2", true, at(1s));
    EXPECT_FALSE(m_book.condemned("f"));
    m_book.noteCrash("f", "e3", true, at(2s));
    EXPECT_TRUE(m_book.condemned("f"));
}

TEST_F(CrashBookTest, sameEngine_lostTwice_countsOnce)
{
    m_book.noteCrash("f", "e1", true, at(0s));
    m_book.noteCrash("f", "e1", true, at(1s));
    m_book.noteCrash("f", "e1", true, at(2s));
    EXPECT_FALSE(m_book.condemned("f"));
}

TEST_F(CrashBookTest, request_answeredMeanwhile_isInnocent)
{
    m_book.noteCrash("f", "e1", true, at(0s));
    m_book.noteCrash("f", "e2", true, at(0s));
    m_book.noteAnswered("f");
    m_book.noteCrash("f", "e3", true, at(1s));
    EXPECT_FALSE(m_book.condemned("f"));
}

TEST_F(CrashBookTest, manyRequestsOfOneEngine_noneIsTold)
{
    for (int i = 0; i < 64; ++i) {
        EXPECT_FALSE(m_book.noteCrash("f" + std::to_string(i), "e1", true, at(0s)));
    }
}

TEST_F(CrashBookTest, requestAtEveryNode_nodesTellEachOther_threeEnginesFall)
{
    EXPECT_EQ(crashesOverNodes(7, true), CrashBook::condemnedAt);
    EXPECT_EQ(crashesOverNodes(7, false), 7U);
}

TEST_F(CrashBookTest, fingerprint_tellsWorkspacePathAndBodyApart)
{
    const auto one = CrashBook::fingerprintOf("w", "/a", "b");
    EXPECT_EQ(one, CrashBook::fingerprintOf("w", "/a", "b"));
    EXPECT_NE(one, CrashBook::fingerprintOf("x", "/a", "b"));
    EXPECT_NE(one, CrashBook::fingerprintOf("w", "/b", "b"));
    EXPECT_NE(one, CrashBook::fingerprintOf("w", "/a", "c"));
}

} // namespace ibisfork::gateway
