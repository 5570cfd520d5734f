#include "gateway/enginereach.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

class EngineReachTest : public testing::Test
{
protected:
    /// Engines e0, e1 and so on of the service fail to answer; true if the node takes itself for cut off then.
    bool fail(std::size_t engines, std::size_t listed)
    {
        bool changed = false;
        for (std::size_t i = 0; i < engines; ++i) {
            changed = m_reach.recordUnreachable("s", "e" + std::to_string(i), listed) || changed;
        }
        EXPECT_EQ(changed, m_reach.isCutOff("s"));
        return changed;
    }

    EngineReach m_reach;
};

TEST_F(EngineReachTest, twoThirdsOfTheEnginesAreDown_nodeIsNotCutOff)
{
    EXPECT_FALSE(fail(2, 3));
}

TEST_F(EngineReachTest, noEngineAnswers_nodeIsCutOff)
{
    EXPECT_TRUE(fail(3, 3));
    EXPECT_FALSE(m_reach.isCutOff("other"));
}

TEST_F(EngineReachTest, serviceOfManyEngines_aFewAreEnough)
{
    EXPECT_FALSE(fail(5, 60));
    EXPECT_TRUE(m_reach.recordUnreachable("s", "e59", 60));
}

TEST_F(EngineReachTest, serviceOfOneEngine_itIsEnough)
{
    EXPECT_TRUE(fail(1, 1));
}

TEST_F(EngineReachTest, oneEngineFailsAgainAndAgain_countsOnce)
{
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(m_reach.recordUnreachable("s", "e0", 9));
    }
}

TEST_F(EngineReachTest, anEngineAnswersInBetween_countBeginsAnew)
{
    fail(2, 3);
    EXPECT_FALSE(m_reach.recordAnswered("s", {}));
    EXPECT_FALSE(m_reach.recordUnreachable("s", "e2", 3));
}

TEST_F(EngineReachTest, anEngineAnswersAgain_nodeIsNoLongerCutOff)
{
    fail(3, 3);
    EXPECT_TRUE(m_reach.recordAnswered("s", {}));
    EXPECT_FALSE(m_reach.isCutOff("s"));
    EXPECT_FALSE(m_reach.recordAnswered("s", {}));
}

TEST_F(EngineReachTest, allEnginesAreSilentForASecond_nodeIsNotCutOff)
{
    for (int i = 0; i < 30; ++i) {
        const auto now = base::TimePoint(std::chrono::milliseconds(50 * i));
        EXPECT_FALSE(m_reach.recordSilent("s", "e" + std::to_string(i % 3), 3, now));
    }
}

TEST_F(EngineReachTest, allEnginesAreSilentForLonger_nodeIsCutOff)
{
    bool changed = false;
    for (int i = 0; i < 5; ++i) {
        changed = m_reach.recordSilent("s", "e" + std::to_string(i % 3), 3, base::TimePoint(std::chrono::seconds(i)));
    }
    EXPECT_TRUE(m_reach.isCutOff("s"));
    EXPECT_FALSE(changed) << "it was before";
}

TEST_F(EngineReachTest, oneEngineIsSilentForLong_nodeIsNotCutOff)
{
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(m_reach.recordSilent("s", "e0", 3, base::TimePoint(std::chrono::seconds(i))));
    }
}

} // namespace ibisfork::gateway
