#include <ibisfork/coord/ramp.h>

#include <gtest/gtest.h>

namespace ibisfork::coord {

using namespace std::chrono_literals;

class RampTest : public testing::Test
{
protected:
    std::uint32_t allowed(base::Duration after) const { return m_ramp.allowed({2, 12, 10s}, m_start + after); }

    base::TimePoint m_start{1000s};
    Ramp m_ramp{m_start};
};

TEST_F(RampTest, allowed_noEvidence_growsFromCold)
{
    EXPECT_EQ(allowed(0s), 2U);
    EXPECT_EQ(allowed(5s), 7U);
    EXPECT_EQ(allowed(10s), 12U);
}

TEST_F(RampTest, allowed_uptimeSeen_countsFromTheStart)
{
    m_ramp.recordUptime(5s, m_start);
    EXPECT_EQ(allowed(0s), 7U);
}

TEST_F(RampTest, allowed_coldStartAfterLongUptime_ignoresTheUptime)
{
    m_ramp.recordUptime(1h, m_start);
    m_ramp.recordColdStart(m_start + 1s);
    m_ramp.recordUptime(1h, m_start + 1s);
    EXPECT_EQ(allowed(1s), 2U);
}

} // namespace ibisfork::coord
