#include "gateway/resendcharge.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// A request at a node with a budget of two retries.
class ResendChargeTest : public testing::Test
{
protected:
    static constexpr base::TimePoint now{1000s};
    static constexpr unsigned nodes = 1;

    bool chargeNext() { return m_charge.chargeNext(m_budget, "s", nodes, now); }

    /// Takes what is left of the budget and returns how much that was.
    unsigned takeRest()
    {
        unsigned retries = 0;
        while (m_budget.consume("s", nodes, now)) {
            ++retries;
        }
        return retries;
    }

    /// Retries that the bound names; the budget keeps a part of them back.
    static constexpr double extra = 2.5;

    ResendBudget m_budget{{0, extra, 10s}};
    ResendCharge m_charge;
};

TEST_F(ResendChargeTest, newRequest_isChargedNothing)
{
    EXPECT_EQ(takeRest(), 2U);
}

TEST_F(ResendChargeTest, nextAttempt_askedTwice_isChargedOnce)
{
    EXPECT_TRUE(chargeNext());
    EXPECT_TRUE(chargeNext());
    EXPECT_EQ(takeRest(), 1U);
}

TEST_F(ResendChargeTest, eachAttempt_isChargedAnew)
{
    EXPECT_TRUE(chargeNext());
    m_charge.beginAttempt();
    EXPECT_TRUE(chargeNext());
    EXPECT_EQ(takeRest(), 0U);
}

TEST_F(ResendChargeTest, budgetExhausted_isNotCharged)
{
    takeRest();
    EXPECT_FALSE(chargeNext());
}

TEST_F(ResendChargeTest, chargedAttemptHasNotRun_nextOneUsesItsCharge)
{
    EXPECT_TRUE(chargeNext());
    m_charge.beginAttempt();
    m_charge.carryOver();
    takeRest();
    EXPECT_TRUE(chargeNext());
}

TEST_F(ResendChargeTest, firstAttemptHasReachedNoEngine_nextOneIsFree_theOneAfterItIsCharged)
{
    m_charge.beginAttempt();
    m_charge.carryOver();
    EXPECT_TRUE(chargeNext());
    m_charge.beginAttempt();
    EXPECT_TRUE(chargeNext());
    EXPECT_EQ(takeRest(), 1U);
}

TEST_F(ResendChargeTest, chargeIsUsed_attemptAfterIt_needsAnother)
{
    EXPECT_TRUE(chargeNext());
    m_charge.beginAttempt();
    takeRest();
    EXPECT_FALSE(chargeNext());
}

} // namespace ibisfork::gateway
