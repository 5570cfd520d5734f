#include "gateway/runmonitor.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class RunMonitorTest : public testing::Test
{
protected:
    RunMonitorTest()
    {
        m_monitor.setTrialVersion("v2");
        for (int i = 0; i < 20; ++i) {
            const auto id = m_monitor.recordSent(run("v1"), at(0s));
            m_monitor.recordFirstByte(id, at(100ms));
            m_monitor.recordEnded(id, RunEnd::Answered, at(200ms));
        }
    }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    static MonitoredRun run(const std::string &version, std::uint32_t promptTokens = 1000)
    {
        return {version, "e1", {"r"}, promptTokens, 2000ms};
    }

    RunMonitor m_monitor;
};

TEST_F(RunMonitorTest, firstByte_inTheUsualTime_isGood)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_EQ(m_monitor.unjudged("v2"), 1U);
    const auto verdict = m_monitor.recordFirstByte(id, at(150ms));
    ASSERT_TRUE(verdict);
    EXPECT_EQ(verdict->quality, RunQuality::Good);
    EXPECT_EQ(m_monitor.unjudged("v2"), 0U);
    EXPECT_FALSE(m_monitor.recordEnded(id, RunEnd::Answered, at(5s)));
}

TEST_F(RunMonitorTest, firstByte_severalTimesTheUsual_isLate)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_EQ(m_monitor.recordFirstByte(id, at(800ms))->quality, RunQuality::Late);
}

TEST_F(RunMonitorTest, noAnswer_severalTimesTheUsual_isLateBeforeItEnds)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_TRUE(m_monitor.judgeUnanswered(at(200ms)).empty());
    ASSERT_EQ(m_monitor.judgeUnanswered(at(800ms)).size(), 1U);
    EXPECT_TRUE(m_monitor.judgeUnanswered(at(900ms)).empty());
    EXPECT_FALSE(m_monitor.recordFirstByte(id, at(1s)));
    EXPECT_FALSE(m_monitor.recordEnded(id, RunEnd::Answered, at(2s)));
}

TEST_F(RunMonitorTest, withdrawnRun_counts_onlyIfItWasLateByThen)
{
    const auto early = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_FALSE(m_monitor.recordEnded(early, RunEnd::Withdrawn, at(100ms)));
    const auto late = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_EQ(m_monitor.recordEnded(late, RunEnd::Withdrawn, at(900ms))->quality, RunQuality::Late);
}

TEST_F(RunMonitorTest, stream_cutOffAfterAGoodBeginning_isRevisedOnce)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    m_monitor.recordFirstByte(id, at(100ms));
    const auto verdict = m_monitor.recordEnded(id, RunEnd::TimedOut, at(3s));
    ASSERT_TRUE(verdict);
    EXPECT_EQ(verdict->quality, RunQuality::Late);
    EXPECT_TRUE(verdict->isRevised);
}

TEST_F(RunMonitorTest, failedRun_isFailedAtItsEnd)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    const auto verdict = m_monitor.recordEnded(id, RunEnd::Failed, at(10ms));
    EXPECT_EQ(verdict->quality, RunQuality::Failed);
    EXPECT_FALSE(verdict->isRevised);
}

TEST_F(RunMonitorTest, longPrompt_mayTakeLongerInProportion)
{
    const auto id = m_monitor.recordSent(run("v2", 4000), at(0s));
    EXPECT_EQ(m_monitor.recordFirstByte(id, at(800ms))->quality, RunQuality::Good);
}

TEST_F(RunMonitorTest, slowRunsOfTheTrialVersion_doNotBecomeUsual)
{
    for (int i = 0; i < 50; ++i) {
        m_monitor.recordFirstByte(m_monitor.recordSent(run("v2"), at(0s)), at(800ms));
    }
    EXPECT_EQ(m_monitor.recordFirstByte(m_monitor.recordSent(run("v2"), at(0s)), at(800ms))->quality, RunQuality::Late);
}

TEST_F(RunMonitorTest, kindNotSeenBefore_isJudgedByItsObjective)
{
    auto other = run("v2");
    other.kind.route = "other";
    EXPECT_EQ(m_monitor.recordFirstByte(m_monitor.recordSent(other, at(0s)), at(1900ms))->quality, RunQuality::Good);
    EXPECT_EQ(m_monitor.recordFirstByte(m_monitor.recordSent(other, at(0s)), at(2100ms))->quality, RunQuality::Late);
}

} // namespace ibisfork::gateway
