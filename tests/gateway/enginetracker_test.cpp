#include "gateway/enginetracker.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class EngineTrackerTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    static EngineEntry entry(const std::string &id)
    {
        EngineEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.slots = 4;
        return entry;
    }

    EngineTracker m_tracker;
};

TEST_F(EngineTrackerTest, engine_draining_isNotUsable)
{
    m_tracker.put(entry("e1"), at(0s));
    auto draining = entry("e1");
    draining.draining = true;
    EXPECT_TRUE(m_tracker.put(draining, at(1s)));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
}

TEST_F(EngineTrackerTest, entryRemoved_storeUnreliable_engineIsKeptForTwoSeconds)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", true, at(1s));
    m_tracker.removeExpired(at(2900ms));
    EXPECT_EQ(m_tracker.ofService("s").size(), 1U);
    m_tracker.removeExpired(at(3s));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
}

TEST_F(EngineTrackerTest, entryRemoved_storeUnreliable_entryReturns_engineIsKept)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", true, at(1s));
    m_tracker.put(entry("e1"), at(2s));
    m_tracker.removeExpired(at(9s));
    EXPECT_EQ(m_tracker.ofService("s").size(), 1U);
}

TEST_F(EngineTrackerTest, entryRemoved_storeReliable_engineIsRemovedAtOnce)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", false, at(1s));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
    m_tracker.removeExpired(at(1s));
    EXPECT_EQ(m_tracker.find("e1"), nullptr);
}

TEST_F(EngineTrackerTest, entryRemoved_storeUnreliableThenReliable_engineIsRemovedAtOnce)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", true, at(1s));
    m_tracker.remove("e1", false, at(1100ms));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
}

TEST_F(EngineTrackerTest, engine_restartedUnderItsId_stateIsReset)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordFault("e1", EngineFault::Lost, 3s, at(0s));
    auto again = entry("e1");
    again.startTimeMs = 7;
    again.coldLeft = 2s;
    m_tracker.put(again, at(1s));
    EXPECT_EQ(m_tracker.find("e1")->faultShare, 0);
    EXPECT_TRUE(m_tracker.find("e1")->isCold(at(2900ms)));
    EXPECT_FALSE(m_tracker.find("e1")->isCold(at(3100ms)));
}

TEST_F(EngineTrackerTest, connectionLost_engineMayHaveRestarted_countsAsCold)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordFault("e1", EngineFault::Lost, 3s, at(0s));
    EXPECT_TRUE(m_tracker.find("e1")->isCold(at(3s)));
    EXPECT_LT(at(0s), m_tracker.find("e1")->backoffUntil);
}

TEST_F(EngineTrackerTest, enginePausesUnderManyRequests_isBackedOffOnce)
{
    m_tracker.put(entry("e1"), at(0s));
    for (int i = 0; i < 6; ++i) {
        m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(i * 10ms));
    }
    EXPECT_LE(m_tracker.find("e1")->backoffUntil, at(500ms));
    m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(1s));
    EXPECT_GT(m_tracker.find("e1")->backoffUntil, at(1500ms)) << "it was asked again in vain";
}

TEST_F(EngineTrackerTest, engineWasSilent_answersOnAnOldConnection_isNotCold)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(1s));
    m_tracker.recordProcessAlive("e1", at(1500ms));
    EXPECT_TRUE(m_tracker.find("e1")->isCold(at(2s))) << "a process that started since may have answered";
    m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(2s));
    m_tracker.recordProcessAlive("e1", at(1500ms));
    EXPECT_TRUE(m_tracker.find("e1")->isCold(at(2s))) << "that goes for later silence too";
    m_tracker.recordProcessAlive("e1", at(500ms));
    EXPECT_FALSE(m_tracker.find("e1")->isCold(at(2s)));
}

TEST_F(EngineTrackerTest, engineWasSilentAndLostAConnection_answersOnAnOldOne_staysCold)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(1s));
    m_tracker.recordFault("e1", EngineFault::Lost, 3s, at(2s));
    m_tracker.recordFault("e1", EngineFault::Silent, 3s, at(3s));
    m_tracker.recordProcessAlive("e1", at(500ms));
    EXPECT_TRUE(m_tracker.find("e1")->isCold(at(4s)));
}

TEST_F(EngineTrackerTest, load_reportedThenSent_addsWhatWasSentSince)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordLoad("e1", {5, 2, 64}, at(0s));
    m_tracker.recordSent("e1", 10, at(0s));
    EXPECT_EQ(m_tracker.find("e1")->expectedLoad(at(1s), 7), 8);
    m_tracker.recordEnded("e1");
    EXPECT_EQ(m_tracker.find("e1")->expectedLoad(at(1s), 7), 7);
}

TEST_F(EngineTrackerTest, load_reportTooOld_countsOwnRequestsForAllNodes)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordLoad("e1", {50, 2, 64}, at(0s));
    m_tracker.recordSent("e1", 10, at(0s));
    EXPECT_EQ(m_tracker.find("e1")->expectedLoad(at(5s), 7), 7);
}

TEST_F(EngineTrackerTest, engineHasSaidThatItLeaves_isListedAsReadyAgain_staysUnused)
{
    auto listed = entry("e1");
    listed.startTimeMs = 1000;
    m_tracker.put(listed, at(0s));
    EXPECT_TRUE(m_tracker.recordLeaving({"e1", 1000}, at(1s)));
    EXPECT_FALSE(m_tracker.recordLeaving({"e1", 1000}, at(1s)));
    m_tracker.put(listed, at(2s));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
    m_tracker.remove("e1", false, at(3s));
    m_tracker.put(listed, at(4s));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
}

TEST_F(EngineTrackerTest, engineHasLeft_newProcessOfTheSameId_isUsed)
{
    auto listed = entry("e1");
    listed.startTimeMs = 1000;
    m_tracker.put(listed, at(0s));
    m_tracker.recordLeaving({"e1", 1000}, at(1s));
    listed.startTimeMs = 2000;
    EXPECT_TRUE(m_tracker.put(listed, at(2s)));
    EXPECT_EQ(m_tracker.ofService("s").size(), 1U);
}

TEST_F(EngineTrackerTest, lateAnswerOfAnEarlierProcess_saysThatItLeaves_newProcessIsUsed)
{
    auto listed = entry("e1");
    listed.startTimeMs = 2000;
    m_tracker.put(listed, at(0s));
    EXPECT_FALSE(m_tracker.recordLeaving({"e1", 1000}, at(1s)));
    EXPECT_EQ(m_tracker.ofService("s").size(), 1U);
}

TEST_F(EngineTrackerTest, engineIsUnlistedBeforeItsAnswerSaysThatItLeaves_relisted_staysUnused)
{
    auto listed = entry("e1");
    listed.startTimeMs = 1000;
    m_tracker.recordLeaving({"e1", 1000}, at(1s));
    m_tracker.put(listed, at(2s));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
}

TEST_F(EngineTrackerTest, engineAsksForAYearOfRest_isLeftAloneForTheLongestTimeThatIsKept)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordRest({"e1", 0}, std::chrono::hours(24 * 365), at(0s));
    EXPECT_TRUE(m_tracker.find("e1")->isResting(at(EngineTracker::maxRest - 1ms)));
    EXPECT_FALSE(m_tracker.find("e1")->isResting(at(EngineTracker::maxRest)));
}

TEST_F(EngineTrackerTest, restOfAnEarlierProcess_doesNotHoldTheNewOne)
{
    auto listed = entry("e1");
    listed.startTimeMs = 2000;
    m_tracker.put(listed, at(0s));
    m_tracker.recordRest({"e1", 1000}, 10s, at(1s));
    EXPECT_FALSE(m_tracker.find("e1")->isResting(at(2s)));
}

TEST_F(EngineTrackerTest, shorterRestIsAskedForLater_theLongerOneStands)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.recordRest({"e1", 0}, 10s, at(0s));
    m_tracker.recordRest({"e1", 0}, 1s, at(1s));
    EXPECT_TRUE(m_tracker.find("e1")->isResting(at(9s)));
}

TEST_F(EngineTrackerTest, olderCopyListsARemovedEngine_itIsAddedOnceItsEntryIsRenewed)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", false, at(1s));
    EXPECT_FALSE(m_tracker.put(entry("e1"), at(2s), Listing::OfOlderCopy));
    EXPECT_TRUE(m_tracker.ofService("s").empty());
    EXPECT_TRUE(m_tracker.put(entry("e1"), at(3s)));
    EXPECT_EQ(m_tracker.ofService("s").size(), 1U);
}

TEST_F(EngineTrackerTest, olderCopyListsAnEngineThatIsBack_itsEntryIsTaken)
{
    m_tracker.put(entry("e1"), at(0s));
    m_tracker.remove("e1", false, at(1s));
    m_tracker.put(entry("e1"), at(2s));
    auto moved = entry("e1");
    moved.failureDomain = "d2";
    m_tracker.put(moved, at(3s), Listing::OfOlderCopy);
    EXPECT_EQ(m_tracker.find("e1")->entry.failureDomain, "d2");
}

} // namespace ibisfork::gateway
