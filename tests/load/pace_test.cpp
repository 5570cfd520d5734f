#include "load/pace.h"

#include <gtest/gtest.h>

namespace ibisfork::load {

using namespace std::chrono_literals;

class PaceTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    Pace m_pace;
};

TEST_F(PaceTest, nothingKnown_isUsual)
{
    EXPECT_DOUBLE_EQ(m_pace.at(at(0s)), 1);
    EXPECT_FALSE(m_pace.isReported());
}

TEST_F(PaceTest, reportedSlow_countsLessTheOlderItIs)
{
    m_pace.recordReported(2.5, at(0s));
    EXPECT_NEAR(m_pace.at(at(0s)), 2.5, 0.01);
    EXPECT_LT(m_pace.at(at(600ms)), 1.8);
    EXPECT_NEAR(m_pace.at(at(5s)), 1, 0.01);
}

TEST_F(PaceTest, reportOutsideTheBounds_isCutToThem)
{
    m_pace.recordReported(1e9, at(0s));
    EXPECT_DOUBLE_EQ(m_pace.at(at(0s)), Pace::most);
    m_pace.recordReported(0, at(0s));
    EXPECT_DOUBLE_EQ(m_pace.at(at(0s)), Pace::least);
}

TEST_F(PaceTest, reportOfTheFuture_countsAsNew)
{
    m_pace.recordReported(2, at(10s));
    EXPECT_NEAR(m_pace.at(at(0s)), 2, 0.01);
}

TEST_F(PaceTest, slowAnswers_areLearnedAndForgotten)
{
    for (int i = 0; i < 20; ++i) {
        m_pace.recordSeen(1.7);
    }
    EXPECT_NEAR(m_pace.learned(), 1.7, 0.05);
    for (int i = 0; i < 20; ++i) {
        m_pace.recordSeen(1);
    }
    EXPECT_NEAR(m_pace.learned(), 1, 0.05);
}

} // namespace ibisfork::load
