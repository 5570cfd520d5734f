#include "gateway/modelpolicy.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace ibisfork::gateway {

class ModelPolicyTest : public testing::Test
{
protected:
    bool wants(int confidence, double pressure, const std::string &model = "small") const
    {
        return m_policy.worthSecondRun(m_models, model, confidence, pressure);
    }

    std::vector<std::string> m_models{"small", "middle", "large"};
    ModelPolicy m_policy;
};

TEST_F(ModelPolicyTest, unsureAnswer_enginesKeepUp_isWorthASecondRun)
{
    EXPECT_TRUE(wants(30, 0.1));
    EXPECT_FALSE(wants(60, 0.1));
}

TEST_F(ModelPolicyTest, largestModel_hasNoSecondRun)
{
    EXPECT_FALSE(wants(0, 0, "large"));
}

TEST_F(ModelPolicyTest, enginesFallBehind_onlyTheWorstAnswersAreRunAgain)
{
    EXPECT_FALSE(wants(30, 0.9));
    EXPECT_TRUE(wants(0, 0.9))
        << "a response that the small model almost certainly gets wrong is of no use to its caller";
}

/// Simulates engines of limited capacity under more arrivals than they could serve if every response of low confidence
/// got a second run on the large model. Guards against a limit that does not fall with load: the backlog then grows
/// without bound.
TEST_F(ModelPolicyTest, arrivalsBeyondTheEngines_answersStillBeginInTime)
{
    constexpr double arrivals = 100;
    constexpr double objective = 2;
    constexpr double smallRun = 0.01;
    constexpr double largeRun = 0.1;
    // Engine seconds per second; second runs of all responses with a confidence below 43 would need 1.0 + 4.3.
    constexpr double engines = 4;
    double backlog = 0;
    double mostLate = 0;
    for (int second = 0; second < 120; ++second) {
        const double firstByte = backlog / engines;
        int unsure = 0;
        for (int confidence = 0; confidence < 100; ++confidence) {
            unsure += wants(confidence, firstByte / objective) ? 1 : 0;
        }
        backlog = std::max(0.0, backlog + arrivals * (smallRun + largeRun * unsure / 100.0) - engines);
        mostLate = std::max(mostLate, firstByte);
    }
    EXPECT_LT(mostLate, objective);
}

} // namespace ibisfork::gateway
