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

    EngineTracker m_book;
};

TEST_F(EngineTrackerTest, engine_leaving_getsNoMoreWork)
{
    m_book.put(entry("e1"), at(0s));
    auto draining = entry("e1");
    draining.draining = true;
    EXPECT_TRUE(m_book.put(draining, at(1s)));
    EXPECT_TRUE(m_book.ofService("s").empty());
}

TEST_F(EngineTrackerTest, entryGone_storeWasAway_countsForTwoSeconds)
{
    m_book.put(entry("e1"), at(0s));
    m_book.remove("e1", true, at(1s));
    m_book.removeExpired(at(2900ms));
    EXPECT_EQ(m_book.ofService("s").size(), 1U);
    m_book.removeExpired(at(3s));
    EXPECT_TRUE(m_book.ofService("s").empty());
}

TEST_F(EngineTrackerTest, entryGoneInDoubt_comesBack_staysForGood)
{
    m_book.put(entry("e1"), at(0s));
    m_book.remove("e1", true, at(1s));
    m_book.put(entry("e1"), at(2s));
    m_book.removeExpired(at(9s));
    EXPECT_EQ(m_book.ofService("s").size(), 1U);
}

TEST_F(EngineTrackerTest, entryGone_storeWasThere_isGoneAtOnce)
{
    m_book.put(entry("e1"), at(0s));
    m_book.remove("e1", false, at(1s));
    EXPECT_TRUE(m_book.ofService("s").empty());
    m_book.removeExpired(at(1s));
    EXPECT_EQ(m_book.find("e1"), nullptr);
}

TEST_F(EngineTrackerTest, entryGoneInDoubt_thenForCertain_isGoneAtOnce)
{
    m_book.put(entry("e1"), at(0s));
    m_book.remove("e1", true, at(1s));
    m_book.remove("e1", false, at(1100ms));
    EXPECT_TRUE(m_book.ofService("s").empty());
}

TEST_F(EngineTrackerTest, engine_startedAnewUnderItsId_isLearntAnew)
{
    m_book.put(entry("e1"), at(0s));
    m_book.recordFault("e1", EngineFault::Lost, 3s, at(0s));
    auto again = entry("e1");
    again.startTimeMs = 7;
    again.coldLeft = 2s;
    m_book.put(again, at(1s));
    EXPECT_EQ(m_book.find("e1")->faultShare, 0);
    EXPECT_TRUE(m_book.find("e1")->isCold(at(2900ms)));
    EXPECT_FALSE(m_book.find("e1")->isCold(at(3100ms)));
}

TEST_F(EngineTrackerTest, connectionLost_engineMayHaveRestarted_countsAsCold)
{
    m_book.put(entry("e1"), at(0s));
    m_book.recordFault("e1", EngineFault::Lost, 3s, at(0s));
    EXPECT_TRUE(m_book.find("e1")->isCold(at(3s)));
    EXPECT_LT(at(0s), m_book.find("e1")->backoffUntil);
}

TEST_F(EngineTrackerTest, load_reportedThenSent_addsWhatWasSentSince)
{
    m_book.put(entry("e1"), at(0s));
    m_book.recordLoad("e1", {5, 2, 64}, at(0s));
    m_book.recordSent("e1", 10);
    EXPECT_EQ(m_book.find("e1")->expectedLoad(at(1s), 7), 8);
    m_book.recordEnded("e1");
    EXPECT_EQ(m_book.find("e1")->expectedLoad(at(1s), 7), 7);
}

TEST_F(EngineTrackerTest, load_reportTooOld_countsOwnRequestsForAllNodes)
{
    m_book.put(entry("e1"), at(0s));
    m_book.recordLoad("e1", {50, 2, 64}, at(0s));
    m_book.recordSent("e1", 10);
    EXPECT_EQ(m_book.find("e1")->expectedLoad(at(5s), 7), 7);
}

} // namespace ibisfork::gateway
