#include <ibisfork/coord/confirmation.h>

#include <gtest/gtest.h>

namespace ibisfork::coord {

using namespace std::chrono_literals;

class ConfirmationTest : public testing::Test
{
protected:
    base::TimePoint m_start{1000s};
    Confirmation m_confirmation{6s};
};

TEST_F(ConfirmationTest, confirmed_nothingLearnt_isFalse)
{
    EXPECT_FALSE(m_confirmation.confirmed(0, m_start));
}

TEST_F(ConfirmationTest, confirmed_atTheBound_isFalse)
{
    m_confirmation.recordNewest(3, m_start);
    EXPECT_TRUE(m_confirmation.confirmed(3, m_start + 6s - 1ns));
    EXPECT_FALSE(m_confirmation.confirmed(3, m_start + 6s));
}

TEST_F(ConfirmationTest, confirmed_newerRevisionKnown_isFalse)
{
    m_confirmation.recordNewest(3, m_start);
    m_confirmation.recordNewest(4, m_start);
    EXPECT_FALSE(m_confirmation.confirmed(3, m_start + 1s));
    EXPECT_TRUE(m_confirmation.confirmed(4, m_start + 1s));
}

TEST_F(ConfirmationTest, learn_olderRevisionLate_confirmsNothing)
{
    m_confirmation.recordNewest(4, m_start);
    m_confirmation.recordNewest(3, m_start + 5s);
    EXPECT_FALSE(m_confirmation.confirmed(4, m_start + 7s));
}

} // namespace ibisfork::coord
