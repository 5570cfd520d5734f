#include "admission/returntimes.h"

#include <gtest/gtest.h>

namespace ibisfork::admission {

using namespace std::chrono_literals;

class ReturnTimesTest : public testing::Test
{
protected:
    base::TimePoint m_now{1000s};
    ReturnTimes m_times;
};

TEST_F(ReturnTimesTest, next_callersOfOneMoment_returnOneByOne)
{
    EXPECT_EQ(m_times.next(100ms, 20ms, m_now), 100ms);
    EXPECT_EQ(m_times.next(100ms, 20ms, m_now), 120ms);
    EXPECT_EQ(m_times.next(100ms, 20ms, m_now + 10ms), 130ms);
}

TEST_F(ReturnTimesTest, next_longAfterTheLast_waitAloneCounts)
{
    m_times.next(100ms, 20ms, m_now);
    EXPECT_EQ(m_times.next(50ms, 20ms, m_now + 1s), 50ms);
}

TEST_F(ReturnTimesTest, next_moreCallersThanCanBeSpread_noneIsSentAwayForLonger)
{
    for (int caller = 0; caller < 1000; ++caller) {
        EXPECT_LE(m_times.next(100ms, 20ms, m_now), 100ms + ReturnTimes::longestSpread);
    }
}

} // namespace ibisfork::admission
