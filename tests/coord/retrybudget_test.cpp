#include <gtest/gtest.h>

#include <ibisfork/coord/exceptions.h>
#include <ibisfork/coord/retrybudget.h>

namespace ibisfork::coord {

class RetryBudgetTest : public testing::Test
{
protected:
    RetryBudget m_budget{0.15, 5.0};
};

TEST_F(RetryBudgetTest, consume_everyRequestFails_staysWithinShareAndBurst)
{
    int retries = 0;
    for (int fresh = 0; fresh < 1000; ++fresh) {
        m_budget.countFirstAttempt("w");
        retries += m_budget.consume("w") ? 1 : 0;
    }
    EXPECT_GE(retries, 150);
    EXPECT_LE(retries, 155);
}

TEST_F(RetryBudgetTest, consume_otherWorkspaceExhausted_isUnaffected)
{
    while (m_budget.consume("greedy")) {
    }
    EXPECT_TRUE(m_budget.consume("modest"));
}

TEST_F(RetryBudgetTest, consume_longWithoutRetries_savesNoMoreThanBurst)
{
    for (int fresh = 0; fresh < 1000; ++fresh) {
        m_budget.countFirstAttempt("w");
    }
    int retries = 0;
    while (m_budget.consume("w")) {
        ++retries;
    }
    EXPECT_EQ(retries, 5);
}

TEST_F(RetryBudgetTest, constructed_negativeShare_isRefused)
{
    EXPECT_THROW(RetryBudget(-0.1, 1.0), CoordError);
}

} // namespace ibisfork::coord
