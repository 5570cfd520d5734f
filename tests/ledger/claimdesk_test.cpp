#include <gtest/gtest.h>

#include <random>

#include <fmt/format.h>

#include "ledger/claimdesk.h"
#include "platform/faketable.h"

namespace ibisfork::ledger {

using namespace std::chrono_literals;
using coord::ClaimVerdict;

/// Two nodes that claim in the same table.
class ClaimDeskTest : public testing::Test
{
protected:
    struct Asked
    {
        std::string token;
        std::optional<ClaimAnswer> answer;
    };

    std::shared_ptr<Asked> ask(ClaimDesk &desk, const std::string &key, const std::string &digest = "digest")
    {
        auto asked = std::make_shared<Asked>();
        asked->token = desk.take({"w1", key, digest}, [asked](const ClaimAnswer &answer) { asked->answer = answer; });
        return asked;
    }

    bool runUntil(const std::function<bool()> &condition) { return platform::runUntil(m_base.get(), condition); }

    /// The verdict on @p asked, or nothing where the table was out of reach.
    std::optional<ClaimVerdict> verdictOf(const std::shared_ptr<Asked> &asked)
    {
        EXPECT_TRUE(runUntil([&] { return asked->answer.has_value(); }));
        const auto *result = std::get_if<coord::ClaimResult>(&*asked->answer);
        return result != nullptr ? std::optional(result->verdict) : std::nullopt;
    }

    base::MetricsRegistry m_metrics;
    net::EventBasePtr m_base = net::makeEventBase();
    platform::FakeTable m_fake{m_base.get()};
    platform::TableClient m_table{m_base.get(), m_fake.address(), 2s};
    ClaimDesk m_first{m_base.get(), m_table, 5ms, m_metrics};
    ClaimDesk m_second{m_base.get(), m_table, 5ms, m_metrics};
};

TEST_F(ClaimDeskTest, take_manyAtOnce_areGrantedInOneCommit)
{
    std::vector<std::shared_ptr<Asked>> all;
    for (int index = 0; index < 50; ++index) {
        all.push_back(ask(m_first, fmt::format("key-{}", index)));
    }
    for (const auto &asked : all) {
        EXPECT_EQ(verdictOf(asked), ClaimVerdict::Granted);
    }
    EXPECT_EQ(m_fake.commits, 1U);
}

TEST_F(ClaimDeskTest, take_sameKeysThroughTwoNodesAtOnce_areGrantedOnceEach)
{
    constexpr int keys = 40;
    std::vector<std::shared_ptr<Asked>> all;
    for (int index = 0; index < keys; ++index) {
        all.push_back(ask(m_first, fmt::format("key-{}", index)));
        all.push_back(ask(m_second, fmt::format("key-{}", keys - 1 - index)));
    }
    int granted = 0;
    for (const auto &asked : all) {
        const auto verdict = verdictOf(asked);
        ASSERT_TRUE(verdict);
        granted += *verdict == ClaimVerdict::Granted ? 1 : 0;
    }
    EXPECT_EQ(granted, keys);
}

TEST_F(ClaimDeskTest, take_oneOfAGroupIsTaken_grantsTheOthers)
{
    ASSERT_EQ(verdictOf(ask(m_second, "key-1")), ClaimVerdict::Granted);
    const auto free = ask(m_first, "key-0");
    const auto taken = ask(m_first, "key-1");
    EXPECT_EQ(verdictOf(free), ClaimVerdict::Granted);
    EXPECT_EQ(verdictOf(taken), ClaimVerdict::Running);
}

TEST_F(ClaimDeskTest, take_answerOfTheTableLost_isReadBackAsGranted)
{
    m_fake.loseAnswers = 1;
    EXPECT_EQ(verdictOf(ask(m_first, "key")), ClaimVerdict::Granted);
    EXPECT_EQ(verdictOf(ask(m_second, "key")), ClaimVerdict::Running);
}

TEST_F(ClaimDeskTest, take_commitLost_isTakenAgain)
{
    m_fake.loseCommits = 1;
    EXPECT_EQ(verdictOf(ask(m_first, "key")), ClaimVerdict::Granted);
}

TEST_F(ClaimDeskTest, take_tableDown_isUnavailableAndLeavesNothing)
{
    m_fake.down = true;
    EXPECT_EQ(verdictOf(ask(m_first, "key")), std::nullopt);
    m_fake.down = false;
    EXPECT_EQ(verdictOf(ask(m_second, "key")), ClaimVerdict::Granted);
}

TEST_F(ClaimDeskTest, take_tableGoesDownAfterALostAnswer_isReleasedWhenItReturns)
{
    m_fake.loseAnswers = 1;
    m_fake.downAfterCommits = 1;
    EXPECT_EQ(verdictOf(ask(m_first, "key")), std::nullopt);
    EXPECT_EQ(m_fake.rows("claim/").size(), 1U);
    m_fake.down = false;
    ASSERT_TRUE(runUntil([this] { return m_first.empty(); }));
    EXPECT_EQ(verdictOf(ask(m_second, "key")), ClaimVerdict::Granted);
}

TEST_F(ClaimDeskTest, settle_granted_answersWhoeverAsksAgain)
{
    const auto asked = ask(m_first, "key");
    ASSERT_EQ(verdictOf(asked), ClaimVerdict::Granted);
    const std::string body("\0\xff any bytes", 12);
    m_first.settle({"w1", "key", "digest"}, asked->token, {201, "text/plain", body});
    ASSERT_TRUE(runUntil([this] { return m_first.empty(); }));
    const auto again = ask(m_second, "key");
    ASSERT_EQ(verdictOf(again), ClaimVerdict::Answered);
    const auto &answer = std::get<coord::ClaimResult>(*again->answer).answer;
    EXPECT_EQ(answer->status, 201);
    EXPECT_EQ(answer->body, body);
    EXPECT_EQ(verdictOf(ask(m_second, "key", "other")), ClaimVerdict::KeyConflict);
}

TEST_F(ClaimDeskTest, settle_tableDown_isRecordedWhenItReturns)
{
    const auto asked = ask(m_first, "key");
    ASSERT_EQ(verdictOf(asked), ClaimVerdict::Granted);
    m_fake.down = true;
    m_first.settle({"w1", "key", "digest"}, asked->token, {200, "", "done"});
    EXPECT_EQ(verdictOf(ask(m_second, "key")), std::nullopt);
    m_fake.down = false;
    ASSERT_TRUE(runUntil([this] { return m_first.empty(); }));
    EXPECT_EQ(verdictOf(ask(m_second, "key")), ClaimVerdict::Answered);
}

TEST_F(ClaimDeskTest, release_granted_letsTheNextRun)
{
    const auto asked = ask(m_first, "key");
    ASSERT_EQ(verdictOf(asked), ClaimVerdict::Granted);
    m_first.release({"w1", "key", "digest"}, asked->token);
    ASSERT_TRUE(runUntil([this] { return m_first.empty(); }));
    EXPECT_EQ(verdictOf(ask(m_second, "key")), ClaimVerdict::Granted);
}

/// Releases a take at each stage of its way: before the read, before the commit and after.
class ClaimReleaseTest : public ClaimDeskTest, public testing::WithParamInterface<unsigned>
{
};

TEST_P(ClaimReleaseTest, release_atAnyStep_leavesNothingBehind)
{
    const auto asked = ask(m_first, "key");
    // Keeps the loop turning when nothing is left to do.
    net::Timer tick(m_base.get(), [] {});
    tick.startEvery(1ms);
    for (unsigned step = 0; step < GetParam(); ++step) {
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    }
    m_first.release({"w1", "key", "digest"}, asked->token);
    ASSERT_TRUE(runUntil([this] { return m_first.empty(); }));
    EXPECT_EQ(m_fake.rows("claim/").size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Steps, ClaimReleaseTest, testing::Range(0U, 24U));

} // namespace ibisfork::ledger
