#include <ibisfork/coord/acceptance.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace ibisfork::coord {

using namespace std::chrono_literals;

class AcceptanceTest : public testing::Test
{
protected:
    AcceptanceTest()
    {
        m_acceptance.restore(1, {"a", "b", "c"});
        m_acceptance.recordMembers(2, {"a", "b", "c"});
    }

    base::TimePoint m_start{1000s};
    /// The confirmation of 6 s, extended by 1 % for clock drift.
    base::Duration m_confirmationExpiry = 6060ms;
    Acceptance m_acceptance{6s};
};

TEST_F(AcceptanceTest, accepted_allAcknowledged_isImmediate)
{
    for (const auto *member : {"a", "b", "c"}) {
        EXPECT_EQ(m_acceptance.accepted(m_start), 1U);
        m_acceptance.recordAcknowledged(member, 2, m_start);
    }
    EXPECT_EQ(m_acceptance.accepted(m_start), 2U);
}

TEST_F(AcceptanceTest, accepted_majorityAcknowledged_waitsUntilConfirmationsExpired)
{
    m_acceptance.recordAcknowledged("a", 2, m_start);
    m_acceptance.recordAcknowledged("b", 2, m_start + 1s);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1s + m_confirmationExpiry - 1ns), 1U);
    EXPECT_THAT(m_acceptance.unacknowledged(), testing::ElementsAre("c"));
    EXPECT_EQ(m_acceptance.accepted(m_start + 1s + m_confirmationExpiry), 2U);
}

TEST_F(AcceptanceTest, accepted_minorityAcknowledged_isNotAccepted)
{
    m_acceptance.recordAcknowledged("a", 2, m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1h), 1U);
}

TEST_F(AcceptanceTest, accepted_silentMajorityRemoved_isNotAccepted)
{
    m_acceptance.recordMembers(3, {"a"});
    m_acceptance.recordAcknowledged("a", 3, m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1h), 1U);
    EXPECT_THAT(m_acceptance.unacknowledged(), testing::ElementsAre("b", "c"));
}

TEST_F(AcceptanceTest, accepted_removedMembersEnded_isAccepted)
{
    m_acceptance.recordMembers(3, {"a"});
    m_acceptance.recordAcknowledged("a", 3, m_start);
    m_acceptance.recordEnded("b", m_start);
    m_acceptance.recordEnded("c", m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start), 3U);
}

TEST_F(AcceptanceTest, accepted_oneMemberEnded_waitsUntilItsReportsExpire)
{
    m_acceptance.recordAcknowledged("a", 2, m_start);
    m_acceptance.recordEnded("b", m_start + 2s);
    EXPECT_EQ(m_acceptance.accepted(m_start + 2s), 1U);
    EXPECT_EQ(m_acceptance.accepted(m_start + 2s + m_confirmationExpiry), 2U);
}

TEST_F(AcceptanceTest, accepted_listBetweenStillHasMajority_isNotAccepted)
{
    // c, d and e are a majority of the members at 3 and may confirm one another there.
    m_acceptance.recordMembers(3, {"a", "c", "d", "e"});
    m_acceptance.recordMembers(4, {"a", "b", "c"});
    m_acceptance.recordAcknowledged("a", 4, m_start);
    m_acceptance.recordAcknowledged("b", 4, m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1h), 1U);
    m_acceptance.recordAcknowledged("d", 4, m_start + 1h);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1h + m_confirmationExpiry), 4U);
}

TEST_F(AcceptanceTest, accepted_membersBetweenNotKnown_waitsForAnotherNode)
{
    m_acceptance.recordSkipped(9, {"a"});
    m_acceptance.recordAcknowledged("a", 9, m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start + 1h), 1U);
    m_acceptance.recordAccepted(9);
    m_acceptance.recordMembers(10, {"a"});
    m_acceptance.recordAcknowledged("a", 10, m_start);
    EXPECT_EQ(m_acceptance.accepted(m_start), 10U);
}

} // namespace ibisfork::coord
