#include "upstream/concurrencytracker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace ibisfork::upstream {

using namespace std::chrono_literals;

class ConcurrencyTrackerTest : public testing::Test
{
protected:
    ConcurrencyTrackerTest()
    {
        m_config.revision = 1;
        m_config.members["a"] = {"a", "life-1", "", "d1", "r1"};
        m_config.failureDomains["d1"] = {"d1", "r1", fleet::DomainState::In};
        m_tracker.onNotice([this](const ColdStartNotice &notice) { m_notices.push_back(notice); });
        m_tracker.update(m_config, at(0s));
        fleet::Upstream upstream;
        upstream.id = "e1";
        upstream.failureDomain = "d1";
        upstream.limit = {2, 10, 30s};
        m_config.upstreams["e1"] = upstream;
        update(0s);
    }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }
    std::uint32_t availableCapacity(base::Duration after) const { return m_tracker.availableCapacity("e1", at(after)); }
    void update(base::Duration after)
    {
        ++m_config.revision;
        m_tracker.update(m_config, at(after));
    }
    void report(base::Duration after, const std::string &incarnation, base::Duration uptime)
    {
        m_tracker.recordLoadReport("e1", {incarnation, 0, uptime, 0s, false}, at(after), at(after));
    }

    fleet::Config m_config;
    ConcurrencyTracker m_tracker{"a", "life-1", {60s}};
    std::vector<ColdStartNotice> m_notices;
};

TEST_F(ConcurrencyTrackerTest, availableCapacity_noEvidence_isCold)
{
    EXPECT_EQ(availableCapacity(0s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_reportOfLongUptime_isWarm)
{
    report(1s, "i1", 3600s);
    EXPECT_EQ(availableCapacity(1s), 10U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_halfTheRamp_isBetween)
{
    report(1s, "i1", 15s);
    EXPECT_EQ(availableCapacity(1s), 6U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_newIncarnationInAnAnswer_isColdAndSendsNotice)
{
    report(1s, "i1", 3600s);
    m_tracker.recordIncarnation("e1", "i2", at(2s));
    EXPECT_EQ(availableCapacity(2s), 2U);
    ASSERT_EQ(m_notices.size(), 1U);
    EXPECT_EQ(m_notices[0].upstream, "e1");
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_lateReportOfTheFormerIncarnation_staysCold)
{
    report(1s, "i1", 3600s);
    m_tracker.recordIncarnation("e1", "i2", at(2s));
    report(2s, "i1", 3601s);
    EXPECT_EQ(availableCapacity(2s), 2U);
    report(3s, "i2", 3600s);
    EXPECT_EQ(availableCapacity(3s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_noticeOfAnotherNode_isColdAndNotForwarded)
{
    report(1s, "i1", 3600s);
    m_tracker.applyNotice({"e1", "i2", ColdStartSignal::NewIncarnation}, at(2s));
    EXPECT_EQ(availableCapacity(2s), 2U);
    EXPECT_TRUE(m_notices.empty());
    report(3s, "i2", 1s);
    EXPECT_EQ(availableCapacity(3s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_noResponseForLong_isCold)
{
    report(1s, "i1", 3600s);
    EXPECT_EQ(availableCapacity(60s), 2U);
    report(60s, "i1", 3660s);
    EXPECT_EQ(availableCapacity(60s), 10U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_noResponseAndUnanswered_isZero)
{
    report(1s, "i1", 3600s);
    m_tracker.recordStart("e1");
    EXPECT_EQ(availableCapacity(1s), 9U);
    EXPECT_EQ(availableCapacity(3s), 0U);
    m_tracker.recordIncarnation("e1", "i1", at(3s));
    EXPECT_EQ(availableCapacity(3s), 9U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_suddenSlowFirstToken_isCold)
{
    report(1s, "i1", 3600s);
    for (int i = 0; i < 20; ++i) {
        m_tracker.recordFirstToken("e1", 50ms, at(1s));
    }
    EXPECT_EQ(availableCapacity(1s), 10U);
    m_tracker.recordFirstToken("e1", 2s, at(1s));
    EXPECT_EQ(availableCapacity(1s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_connectionRefused_isZeroThenStartsCold)
{
    report(1s, "i1", 3600s);
    m_tracker.recordConnectionRefused("e1", at(2s));
    m_tracker.recordConnectionRefused("e1", at(3s));
    EXPECT_EQ(availableCapacity(3s), 0U);
    EXPECT_EQ(m_notices.size(), 1U);
    report(4s, "i1", 3603s);
    EXPECT_EQ(availableCapacity(4s), 2U + 8U * 2 / 30);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_connectionLost_isColdUntilALaterReportNamesTheSameIncarnation)
{
    report(1s, "i1", 3600s);
    m_tracker.recordConnectionLost("e1", at(2s));
    m_tracker.recordConnectionLost("e1", at(2s));
    EXPECT_EQ(availableCapacity(2s), 2U);
    EXPECT_EQ(m_notices.size(), 1U);
    m_tracker.recordLoadReport("e1", {"i1", 0, 3600s, 1s, false}, at(2500ms), at(2500ms));
    EXPECT_EQ(availableCapacity(2500ms), 2U);
    report(3s, "i1", 3602s);
    EXPECT_EQ(availableCapacity(3s), 10U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_noticeOfASlowFirstToken_isColdWhateverTheReport)
{
    report(1s, "i1", 3600s);
    m_tracker.applyNotice({"e1", "i1", ColdStartSignal::SlowFirstToken}, at(2s));
    report(2s, "i1", 3601s);
    EXPECT_EQ(availableCapacity(2s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_drainingByItsOwnReport_isZero)
{
    m_tracker.recordLoadReport("e1", {"i1", 0, 3600s, 0s, true}, at(1s), at(1s));
    EXPECT_EQ(availableCapacity(1s), 0U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_domainTakenOutAndBroughtBack_startsCold)
{
    report(1s, "i1", 3600s);
    m_config.failureDomains["d1"].state = fleet::DomainState::TakenOut;
    update(2s);
    EXPECT_EQ(availableCapacity(2s), 0U);
    m_config.failureDomains["d1"].state = fleet::DomainState::In;
    update(3s);
    report(3s, "i1", 3602s);
    EXPECT_EQ(availableCapacity(3s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_drainedAndBroughtBack_startsCold)
{
    report(1s, "i1", 3600s);
    m_config.upstreams["e1"].state = fleet::UpstreamState::Draining;
    update(2s);
    EXPECT_EQ(availableCapacity(2s), 0U);
    m_config.upstreams["e1"].state = fleet::UpstreamState::Live;
    update(3s);
    EXPECT_EQ(availableCapacity(3s), 2U);
}

TEST_F(ConcurrencyTrackerTest, availableCapacity_rowOfAnotherProcessOfTheSameName_isZero)
{
    m_config.members["a"].incarnation = "life-2";
    update(1s);
    EXPECT_EQ(availableCapacity(1s), 0U);
    EXPECT_FALSE(m_tracker.isMember());
}

TEST_F(ConcurrencyTrackerTest, running_upstreamRemovedAndBack_stillCounts)
{
    m_tracker.recordStart("e1");
    const auto upstreams = std::exchange(m_config.upstreams, {});
    update(1s);
    m_config.upstreams = upstreams;
    update(2s);
    EXPECT_EQ(m_tracker.running("e1"), 1U);
}

TEST_F(ConcurrencyTrackerTest, occupancy_workSentSinceTheReport_isAdded)
{
    m_tracker.recordLoadReport("e1", {"i1", 3, 3600s, 0s, false}, at(1s), at(1s));
    m_tracker.recordStart("e1");
    EXPECT_DOUBLE_EQ(m_tracker.occupancy("e1"), 0.4);
}

TEST(LoadReportTest, parse_malformed_isRejected)
{
    for (const auto *body : {"",
                             "[]",
                             "{}",
                             R"({"incarnation":1,"running":2})",
                             R"({"incarnation":"i","running":-1})",
                             R"({"incarnation":"i","running":1,"age_ms":-1})"}) {
        EXPECT_FALSE(parseLoadReport(body)) << body;
    }
}

TEST(LoadReportTest, parse_complete_isAccepted)
{
    const auto report = parseLoadReport(R"({"incarnation":"i","running":2,"uptime_ms":1500,"leaving":true})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->uptime, 1500ms);
    EXPECT_EQ(report->age, 2s);
    EXPECT_TRUE(report->draining);
}

} // namespace ibisfork::upstream
