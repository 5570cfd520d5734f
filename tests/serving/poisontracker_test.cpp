#include "serving/poisontracker.h"

#include <gtest/gtest.h>

namespace ibisfork::serving {

class PoisonTrackerTest : public testing::Test
{
protected:
    /// Starts runs of @p fingerprints at @p upstream, then reports a crash of the upstream from each run.
    void crash(const std::string &upstream, const std::vector<std::string> &fingerprints)
    {
        for (const auto &fingerprint : fingerprints) {
            m_tracker.recordStart(upstream, fingerprint, fingerprint);
        }
        for (const auto &fingerprint : fingerprints) {
            m_tracker.recordCrash(fingerprint);
            m_tracker.recordEnd(fingerprint);
        }
    }

    std::vector<std::string> m_reported;
    PoisonTracker m_tracker{[this](const std::string &fingerprint) {
        m_reported.push_back(fingerprint);
    }};
};

TEST_F(PoisonTrackerTest, requestAlone_crashesTwice_isReportedOnce)
{
    crash("e1", {"bad"});
    EXPECT_FALSE(m_tracker.isPoison("bad"));
    crash("e2", {"bad"});
    EXPECT_TRUE(m_tracker.isPoison("bad"));
    EXPECT_EQ(m_reported, std::vector<std::string>{"bad"});
}

TEST_F(PoisonTrackerTest, otherRequests_presentAtOneOfTwoCrashes_areNotPoison)
{
    crash("e1", {"bad", "n1", "n2"});
    crash("e2", {"bad", "n3", "n4"});
    EXPECT_TRUE(m_tracker.isPoison("bad"));
    for (const auto *other : {"n1", "n2", "n3", "n4"}) {
        EXPECT_FALSE(m_tracker.isPoison(other)) << other;
    }
}

TEST_F(PoisonTrackerTest, suspects_runningElsewhere_areNotSentThere)
{
    crash("e1", {"bad", "n1"});
    m_tracker.recordStart("e2", "bad", "bad");
    EXPECT_EQ(m_tracker.excludedUpstreams("n1"), std::vector<std::string>{"e2"});
    EXPECT_TRUE(m_tracker.excludedUpstreams("fresh").empty());
}

TEST_F(PoisonTrackerTest, twoSuspects_crashTogether_noneIsPoisonUntilOneCrashesAlone)
{
    crash("e1", {"bad", "n1"});
    crash("e2", {"bad", "n1"});
    EXPECT_TRUE(m_reported.empty());
    crash("e3", {"bad"});
    EXPECT_EQ(m_reported, std::vector<std::string>{"bad"});
}

TEST_F(PoisonTrackerTest, suspect_answered_isCleared)
{
    crash("e1", {"n1"});
    m_tracker.recordAnswer("n1");
    crash("e2", {"n1"});
    EXPECT_FALSE(m_tracker.isPoison("n1"));
}

TEST_F(PoisonTrackerTest, fleetPoison_removed_isCleared)
{
    crash("e1", {"bad"});
    crash("e2", {"bad"});
    m_tracker.setFleetPoison({"bad", "other"});
    EXPECT_TRUE(m_tracker.isPoison("other"));
    m_tracker.setFleetPoison({});
    EXPECT_FALSE(m_tracker.isPoison("bad"));
    EXPECT_FALSE(m_tracker.isPoison("other"));
}

} // namespace ibisfork::serving
