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
        m_monitor.judgeByAge(at(10s));
    }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    static MonitoredRun run(const std::string &version, std::uint32_t promptTokens = 1000)
    {
        return {version, "e1", {"r"}, promptTokens, 2000ms};
    }

    /// Qualities of the verdicts that are due at @p after.
    std::vector<RunQuality> verdictsAt(base::Duration after)
    {
        std::vector<RunQuality> qualities;
        for (const auto &verdict : m_monitor.judgeByAge(at(after))) {
            qualities.push_back(verdict.quality);
        }
        return qualities;
    }

    using Verdicts = std::vector<RunQuality>;

    RunMonitor m_monitor;
};

TEST_F(RunMonitorTest, firstByte_inTheUsualTime_isGoodOnceALateRunWouldBeKnown)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_FALSE(m_monitor.recordFirstByte(id, at(150ms)));
    EXPECT_EQ(m_monitor.unjudged("v2"), 1U);
    EXPECT_TRUE(verdictsAt(280ms).empty());
    EXPECT_EQ(verdictsAt(500ms), Verdicts{RunQuality::Good});
    EXPECT_EQ(m_monitor.unjudged("v2"), 0U);
    EXPECT_FALSE(m_monitor.recordEnded(id, RunEnd::Answered, at(5s)));
}

TEST_F(RunMonitorTest, shortRun_endsBeforeItsVerdict_isGoodAllTheSame)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    m_monitor.recordFirstByte(id, at(50ms));
    EXPECT_FALSE(m_monitor.recordEnded(id, RunEnd::Answered, at(60ms)));
    EXPECT_EQ(verdictsAt(500ms), Verdicts{RunQuality::Good});
    EXPECT_TRUE(verdictsAt(1s).empty());
}

TEST_F(RunMonitorTest, firstByte_severalTimesTheUsual_isLate)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_EQ(m_monitor.recordFirstByte(id, at(800ms))->quality, RunQuality::Late);
}

TEST_F(RunMonitorTest, noAnswer_severalTimesTheUsual_isLateBeforeItEnds)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_TRUE(verdictsAt(200ms).empty());
    EXPECT_EQ(verdictsAt(800ms), Verdicts{RunQuality::Late});
    EXPECT_TRUE(verdictsAt(900ms).empty());
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
    EXPECT_EQ(verdictsAt(500ms), Verdicts{RunQuality::Good});
    const auto verdict = m_monitor.recordEnded(id, RunEnd::TimedOut, at(3s));
    ASSERT_TRUE(verdict);
    EXPECT_EQ(verdict->quality, RunQuality::Late);
    EXPECT_TRUE(verdict->isRevised);
}

TEST_F(RunMonitorTest, failedRun_isFailedOnceALateRunWouldBeKnown)
{
    const auto id = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_FALSE(m_monitor.recordEnded(id, RunEnd::Failed, at(10ms)));
    EXPECT_EQ(verdictsAt(500ms), Verdicts{RunQuality::Failed});
    const auto slow = m_monitor.recordSent(run("v2"), at(0s));
    EXPECT_EQ(m_monitor.recordEnded(slow, RunEnd::Failed, at(900ms))->quality, RunQuality::Failed);
}

TEST_F(RunMonitorTest, shortPrompt_isLateSoonerThanALongOne)
{
    for (int i = 0; i < 40; ++i) {
        const std::uint32_t tokens = i % 2 == 0 ? 1000 : 100;
        const auto id = m_monitor.recordSent(run("v1", tokens), at(0s));
        m_monitor.recordFirstByte(id, at(i % 2 == 0 ? 100ms : 20ms));
        m_monitor.recordEnded(id, RunEnd::Answered, at(200ms));
    }
    m_monitor.judgeByAge(at(10s));
    EXPECT_EQ(m_monitor.recordFirstByte(m_monitor.recordSent(run("v2", 100), at(0s)), at(160ms))->quality,
              RunQuality::Late);
    EXPECT_FALSE(m_monitor.recordFirstByte(m_monitor.recordSent(run("v2", 1000), at(0s)), at(160ms)));
}

TEST_F(RunMonitorTest, longPrompt_mayTakeLongerInProportion)
{
    for (int i = 0; i < 10; ++i) {
        m_monitor.recordFirstByte(m_monitor.recordSent(run("v1", 500), at(0s)), at(50ms));
    }
    m_monitor.judgeByAge(at(10s));
    const auto id = m_monitor.recordSent(run("v2", 4000), at(0s));
    EXPECT_FALSE(m_monitor.recordFirstByte(id, at(800ms)));
    EXPECT_TRUE(verdictsAt(900ms).empty());
    EXPECT_EQ(verdictsAt(2s), Verdicts{RunQuality::Good});
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
    EXPECT_FALSE(m_monitor.recordFirstByte(m_monitor.recordSent(other, at(0s)), at(1900ms)));
    EXPECT_EQ(m_monitor.recordFirstByte(m_monitor.recordSent(other, at(0s)), at(2100ms))->quality, RunQuality::Late);
}

TEST_F(RunMonitorTest, engineAnswersNothingAndGoesOn_ofTheRunsThatWaitedTogetherOneIsLate)
{
    std::vector<RunId> waiting;
    for (const auto sentAt : {10000ms, 10300ms, 10700ms}) {
        waiting.push_back(m_monitor.recordSent(run("v2"), at(sentAt)));
    }
    EXPECT_EQ(verdictsAt(10500ms), Verdicts{RunQuality::Late});
    EXPECT_TRUE(verdictsAt(11s).empty());
    for (const auto id : waiting) {
        EXPECT_FALSE(m_monitor.recordFirstByte(id, at(11100ms)));
    }
    EXPECT_TRUE(verdictsAt(11300ms).empty());
    EXPECT_EQ(m_monitor.unjudged("v2"), 0U);
}

TEST_F(RunMonitorTest, engineAnswersNothingForLongerThanAPause_allItsRunsAreLate)
{
    m_monitor.recordSent(run("v2"), at(10s));
    m_monitor.recordSent(run("v2"), at(10400ms));
    EXPECT_EQ(verdictsAt(11s), Verdicts{RunQuality::Late});
    EXPECT_EQ(verdictsAt(13100ms), Verdicts{RunQuality::Late});
}

TEST_F(RunMonitorTest, engineAnswersOthersMeanwhile_lateRunsAreJudgedAtOnce)
{
    m_monitor.recordSent(run("v2"), at(10s));
    m_monitor.recordSent(run("v2"), at(10010ms));
    const auto other = m_monitor.recordSent(run("v2"), at(10100ms));
    m_monitor.recordFirstByte(other, at(10200ms));
    EXPECT_EQ(verdictsAt(10500ms), (Verdicts{RunQuality::Late, RunQuality::Late, RunQuality::Good}));
}

TEST_F(RunMonitorTest, slowEngine_answersRunsOneByOne_allAreLate)
{
    const auto first = m_monitor.recordSent(run("v2"), at(10s));
    const auto second = m_monitor.recordSent(run("v2"), at(10400ms));
    EXPECT_EQ(m_monitor.recordFirstByte(first, at(10900ms))->quality, RunQuality::Late);
    EXPECT_EQ(m_monitor.recordFirstByte(second, at(11300ms))->quality, RunQuality::Late);
}

} // namespace ibisfork::gateway
