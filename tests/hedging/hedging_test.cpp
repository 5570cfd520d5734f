#include "hedging/hedgebudget.h"
#include "hedging/hedgedecision.h"
#include "hedging/recenttimes.h"

#include <gtest/gtest.h>

namespace ibisfork::hedging {

using namespace std::chrono_literals;

class RecentTimesTest : public testing::Test
{
protected:
    RecentTimes m_times;
};

TEST_F(RecentTimesTest, fewTimes_showNoQuantile)
{
    for (std::size_t i = 0; i + 1 < RecentTimes::fewest; ++i) {
        m_times.record(60ms);
    }
    EXPECT_FALSE(m_times.quantile(slowShare));
    m_times.record(60ms);
    EXPECT_EQ(m_times.quantile(slowShare), 60ms);
}

TEST_F(RecentTimesTest, oneInTwentySlow_quantileIsBelowThese)
{
    for (int i = 0; i < 100; ++i) {
        m_times.record(i % 25 == 0 ? 2000ms : 60ms);
    }
    EXPECT_EQ(m_times.quantile(slowShare), 60ms);
    EXPECT_EQ(m_times.quantile(1), 2000ms);
}

TEST_F(RecentTimesTest, olderTimes_areForgotten)
{
    for (std::size_t i = 0; i < RecentTimes::capacity; ++i) {
        m_times.record(2000ms);
    }
    for (std::size_t i = 0; i < RecentTimes::capacity; ++i) {
        m_times.record(60ms);
    }
    EXPECT_EQ(m_times.quantile(1), 60ms);
}

class HedgeBudgetTest : public testing::Test
{
protected:
    /// Takes as many copies of 60 ms as @p requests of the same time allow.
    static int taken(const HedgeBound &bound, int requests)
    {
        HedgeBudget budget(bound);
        int copies = 0;
        for (int i = 0; i < requests; ++i) {
            budget.recordRequest("s");
            budget.recordRun("s", 60ms);
            copies += budget.take("s", 60ms) ? 1 : 0;
        }
        return copies;
    }
};

TEST_F(HedgeBudgetTest, allRequestsSlow_copiesKeepToTheirShare)
{
    EXPECT_LE(taken({0.05, 1}, 1000), 50);
    EXPECT_GE(taken({0.05, 1}, 1000), 45);
}

TEST_F(HedgeBudgetTest, timeShareIsLower_copiesKeepToIt)
{
    EXPECT_LE(taken({1, 0.02}, 1000), 20);
    EXPECT_GE(taken({1, 0.02}, 1000), 15);
}

TEST_F(HedgeBudgetTest, oneShareIsZero_noCopyIsSent)
{
    EXPECT_EQ(taken({0, 1}, 1000), 0);
    EXPECT_EQ(taken({1, 0}, 1000), 0);
    EXPECT_EQ(taken({}, 1000), 0);
}

TEST_F(HedgeBudgetTest, longQuietTime_leavesAShortBurstOnly)
{
    HedgeBudget budget({0.05, 0.05});
    for (int i = 0; i < 10000; ++i) {
        budget.recordRequest("s");
        budget.recordRun("s", 60ms);
    }
    int copies = 0;
    while (budget.take("s", 60ms)) {
        ++copies;
    }
    EXPECT_EQ(copies, 5);
    EXPECT_FALSE(budget.take("other", 60ms));
}

class HedgeDecisionTest : public testing::Test
{
protected:
    HedgeQuestion m_question{100ms, 2000ms, {0, 8, 0, 1}, std::nullopt};
};

TEST_F(HedgeDecisionTest, fewAnswersOfTheRoute_estimateTellsWhatIsSlow)
{
    EXPECT_EQ(slowAfter(std::nullopt, std::nullopt), std::nullopt);
    EXPECT_EQ(slowAfter(std::nullopt, 60ms), 180ms);
    EXPECT_EQ(slowAfter(100ms, 60ms), 100ms);
}

TEST_F(HedgeDecisionTest, otherEngineIsIdle_copyIsSent)
{
    EXPECT_TRUE(isCopyWorthwhile(m_question));
}

TEST_F(HedgeDecisionTest, otherEngineIsNearlyFull_noCopyIsSent)
{
    m_question.other.requests = 5;
    EXPECT_TRUE(isCopyWorthwhile(m_question));
    m_question.other.requests = 6;
    EXPECT_FALSE(isCopyWorthwhile(m_question));
}

TEST_F(HedgeDecisionTest, otherEngineIsExpectedToBeSlower_noCopyIsSent)
{
    m_question.expectedAtOther = 150ms;
    EXPECT_FALSE(isCopyWorthwhile(m_question));
    m_question.expectedAtOther = 50ms;
    EXPECT_TRUE(isCopyWorthwhile(m_question));
}

TEST_F(HedgeDecisionTest, noTimeLeft_noCopyIsSent)
{
    m_question.left = 80ms;
    EXPECT_FALSE(isCopyWorthwhile(m_question));
}

} // namespace ibisfork::hedging
