#include "gateway/crashtracker.h"

#include <gtest/gtest.h>

#include <vector>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class CrashTrackerTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    /// A non-repeatable request arrives at one node after the other and crashes an engine at each. @p shared: nodes
    /// share their counts. Returns the number of crashed engines.
    unsigned crashesOverNodes(std::size_t nodes, bool shared)
    {
        std::vector<CrashTracker> trackers(nodes);
        unsigned crashes = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            if (trackers[node].isPoison("f")) {
                continue;
            }
            ++crashes;
            const auto count = trackers[node].recordCrash("f", "e" + std::to_string(node), false, at(0s));
            for (auto &tracker : trackers) {
                if (count && shared) {
                    tracker.recordShared("f", *count);
                }
            }
        }
        return crashes;
    }

    CrashTracker m_tracker;
};

TEST_F(CrashTrackerTest, request_crashedThreeEngines_isPoison)
{
    m_tracker.recordCrash("f", "e1", true, at(0s));
    m_tracker.recordCrash("f", "e2", true, at(1s));
    EXPECT_FALSE(m_tracker.isPoison("f"));
    m_tracker.recordCrash("f", "e3", true, at(2s));
    EXPECT_TRUE(m_tracker.isPoison("f"));
}

TEST_F(CrashTrackerTest, sameEngine_crashedTwice_countsOnce)
{
    m_tracker.recordCrash("f", "e1", true, at(0s));
    m_tracker.recordCrash("f", "e1", true, at(1s));
    m_tracker.recordCrash("f", "e1", true, at(2s));
    EXPECT_FALSE(m_tracker.isPoison("f"));
}

TEST_F(CrashTrackerTest, request_answeredMeanwhile_isNotPoison)
{
    m_tracker.recordCrash("f", "e1", true, at(0s));
    m_tracker.recordCrash("f", "e2", true, at(0s));
    m_tracker.recordAnswered("f");
    m_tracker.recordCrash("f", "e3", true, at(1s));
    EXPECT_FALSE(m_tracker.isPoison("f"));
}

TEST_F(CrashTrackerTest, manyRequestsOfOneEngine_noCountIsShared)
{
    for (int i = 0; i < 64; ++i) {
        EXPECT_FALSE(m_tracker.recordCrash("f" + std::to_string(i), "e1", true, at(0s)));
    }
}

TEST_F(CrashTrackerTest, requestAtEveryNode_nodesShareCounts_threeEnginesCrash)
{
    EXPECT_EQ(crashesOverNodes(7, true), CrashTracker::poisonThreshold);
    EXPECT_EQ(crashesOverNodes(7, false), 7U);
}

TEST_F(CrashTrackerTest, fingerprint_distinguishesWorkspacePathAndBody)
{
    const auto one = CrashTracker::fingerprintOf("w", "/a", "b");
    EXPECT_EQ(one, CrashTracker::fingerprintOf("w", "/a", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("x", "/a", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("w", "/b", "b"));
    EXPECT_NE(one, CrashTracker::fingerprintOf("w", "/a", "c"));
}

} // namespace ibisfork::gateway
