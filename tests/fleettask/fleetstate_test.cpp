#include "fleettask/fleetstate.h"

#include <gtest/gtest.h>

#include <ibisfork/fleet/rows.h>

namespace ibisfork::fleettask {

using namespace std::chrono_literals;

class FleetStateTest : public testing::Test
{
protected:
    static coord::RowChange member(const std::string &node, const std::string &incarnation, const std::string &port)
    {
        return {fleet::rowprefix::member + node,
                fleet::memberRow({node, incarnation, "127.0.0.1:" + port, "domain-" + node, "r1"})};
    }

    static coord::Change change(coord::Revision revision, const std::string &id, std::vector<coord::RowChange> rows)
    {
        return {revision, id, "test", "test", std::move(rows)};
    }

    /// Three members join, one revision each.
    void joinThree()
    {
        m_state.apply({change(1, "join-a", {member("a", "inc-a", "1")}),
                       change(2, "join-b", {member("b", "inc-b", "2")}),
                       change(3, "join-c", {member("c", "inc-c", "3")})},
                      m_now);
    }

    base::TimePoint m_now{1000s};
    FleetState m_state{"inc-a", 6s};
};

TEST_F(FleetStateTest, confirmedUntil_majorityStatesNothingNewer_countsFromTheOlderStatement)
{
    joinThree();
    m_state.recordServed(3, m_now);
    EXPECT_LE(m_state.confirmedUntil(), m_now);
    m_state.recordStatement("inc-b", 3, m_now - 2s, m_now);
    m_state.evaluate(m_now);
    EXPECT_EQ(m_state.confirmedUntil(), m_now + 4s);
}

TEST_F(FleetStateTest, confirmedUntil_oneStatesNewerRevision_isNothing)
{
    joinThree();
    m_state.confirmNewest(3, m_now);
    m_state.recordServed(3, m_now);
    EXPECT_EQ(m_state.confirmedUntil(), m_now + 6s);
    m_state.recordStatement("inc-b", 4, m_now, m_now);
    EXPECT_EQ(m_state.confirmedUntil(), std::nullopt);
}

TEST_F(FleetStateTest, confirmedUntil_notAMember_isNothing)
{
    m_state.apply({change(1, "join-b", {member("b", "inc-b", "2")})}, m_now);
    m_state.confirmNewest(1, m_now);
    EXPECT_EQ(m_state.confirmedUntil(), std::nullopt);
}

TEST_F(FleetStateTest, apply_olderSnapshotOrChanges_changeNothing)
{
    joinThree();
    EXPECT_FALSE(m_state.apply(coord::Snapshot{2, {}}));
    EXPECT_FALSE(m_state.apply({change(2, "again", {{"member/c", std::nullopt}})}, m_now));
    EXPECT_FALSE(m_state.apply({change(9, "gap", {})}, m_now));
    EXPECT_EQ(m_state.revision(), 3U);
    EXPECT_EQ(m_state.members().members().size(), 3U);
}

TEST_F(FleetStateTest, accepted_memberLeftByItself_isNotAwaited)
{
    joinThree();
    m_state.apply({change(4, "leave-inc-c", {{"member/c", std::nullopt}})}, m_now);
    m_state.recordStatement("inc-b", 4, m_now, m_now);
    m_state.recordServed(4, m_now);
    EXPECT_EQ(m_state.accepted(), 4U);
}

TEST_F(FleetStateTest, accepted_operatorSaysMemberIsGone_isNotAwaited)
{
    joinThree();
    m_state.apply({change(4, "gone-inc-c", {})}, m_now);
    m_state.recordStatement("inc-b", 4, m_now, m_now);
    m_state.recordServed(4, m_now);
    EXPECT_EQ(m_state.accepted(), 4U);
}

TEST_F(FleetStateTest, accepted_memberRemovedForSilence_isStillAwaited)
{
    joinThree();
    m_state.apply({change(4, "silent-inc-c-3", {{"member/c", std::nullopt}})}, m_now);
    m_state.recordStatement("inc-b", 4, m_now, m_now);
    m_state.recordServed(4, m_now);
    EXPECT_LT(m_state.accepted(), 4U);
    m_state.evaluate(m_now + 7s);
    EXPECT_EQ(m_state.accepted(), 4U);
}

TEST_F(FleetStateTest, accepted_bornAnewOnTheSameAddress_doesNotAwaitTheOldProcess)
{
    joinThree();
    m_state.apply({change(4, "join-c2", {member("c", "inc-c2", "3")})}, m_now);
    m_state.recordStatement("inc-b", 4, m_now, m_now);
    m_state.recordStatement("inc-c2", 4, m_now, m_now);
    m_state.recordServed(4, m_now);
    EXPECT_EQ(m_state.accepted(), 4U);
}

TEST_F(FleetStateTest, start_acceptedRevisionKept_awaitsTheMembersSince)
{
    joinThree();
    platform::StoredFleet stored{m_state.replica().snapshot(), {1, {{"member/a", *member("a", "inc-a", "1").value}}}};
    FleetState late("inc-late", 6s);
    ASSERT_TRUE(late.start(stored, *m_state.changesAfter(1), m_now));
    EXPECT_EQ(late.accepted(), 1U);
    EXPECT_EQ(late.awaited(), (std::vector<std::string>{"inc-a", "inc-b", "inc-c"}));
    for (const auto *incarnation : {"inc-a", "inc-b", "inc-c"}) {
        late.recordStatement(incarnation, 3, m_now, m_now);
    }
    late.evaluate(m_now);
    EXPECT_EQ(late.accepted(), 3U);
}

TEST_F(FleetStateTest, changesAfter_lateJoiner_getsAllThatFollowOrNothing)
{
    joinThree();
    EXPECT_EQ(m_state.changesAfter(1)->size(), 2U);
    EXPECT_TRUE(m_state.changesAfter(3)->empty());
    m_state.apply(coord::Snapshot{9, {}});
    EXPECT_EQ(m_state.changesAfter(3), std::nullopt);
}

} // namespace ibisfork::fleettask
