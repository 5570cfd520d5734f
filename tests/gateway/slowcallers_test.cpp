#include "gateway/slowcallers.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class SlowCallersTest : public testing::Test
{
protected:
    void add(int caller, base::Duration since)
    {
        m_callers.add(&m_ids[caller], m_now + since, [this, caller] { m_ended.push_back(caller); });
    }

    base::TimePoint m_now{1000s};
    std::array<char, 3> m_ids{};
    std::vector<int> m_ended;
    SlowCallers m_callers;
};

TEST_F(SlowCallersTest, endSlowest_severalAreBehind_theLongestGoesFirst)
{
    add(0, 100ms);
    add(1, 0ms);
    m_callers.endSlowest(m_now + SlowCallers::patience);
    EXPECT_EQ(m_ended, std::vector<int>{1});
    m_callers.endSlowest(m_now + SlowCallers::patience + SlowCallers::endInterval);
    EXPECT_EQ(m_ended, (std::vector<int>{1, 0}));
}

TEST_F(SlowCallersTest, endSlowest_soonAfterAnother_waitsForItsMemory)
{
    add(0, 0ms);
    add(1, 0ms);
    m_callers.endSlowest(m_now + 3s);
    m_callers.endSlowest(m_now + 3s + SlowCallers::endInterval / 2);
    EXPECT_EQ(m_ended.size(), 1U);
}

TEST_F(SlowCallersTest, endSlowest_noneIsBehindForLong_nothingIsEnded)
{
    add(0, 0ms);
    add(1, 0ms);
    m_callers.endSlowest(m_now + 1s);
    m_callers.remove(&m_ids[0]);
    m_callers.remove(&m_ids[1]);
    m_callers.endSlowest(m_now + 10s);
    EXPECT_TRUE(m_ended.empty());
}

} // namespace ibisfork::gateway
