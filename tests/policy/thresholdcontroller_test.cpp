#include "policy/thresholdcontroller.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace ibisfork::policy {

/// Simulates a cascade: an answer of the cheap version is good with a probability equal to its confidence, an answer of
/// the expensive version with probability 0.98.
class ThresholdControllerTest : public testing::Test
{
protected:
    /// The rating service.
    struct RatingService
    {
        /// Fraction of answers that are rated.
        double ratedFraction = 0.2;
        /// Delay of a rating, in rated answers.
        std::size_t delay = 0;
        /// Added to each score of the first judge.
        double bias = 0.0;
        int judges = 5;
    };

    /// Returns the mean quality over the second half of @p answers.
    double run(int answers, const RatingService &service)
    {
        std::deque<double> pending;
        double qualitySum = 0;
        for (int answer = 0; answer < answers; ++answer) {
            const auto confidence = m_unit(m_random);
            const auto quality = m_controller.escalates(confidence) ? 0.98 : confidence;
            const auto score = m_unit(m_random) < quality ? 1.0 : 0.0;
            qualitySum += answer >= answers / 2 ? score : 0.0;
            if (m_unit(m_random) < service.ratedFraction) {
                pending.push_back(score);
            }
            if (pending.size() > service.delay) {
                const auto judge = static_cast<int>(m_unit(m_random) * service.judges);
                m_controller.rate(std::to_string(judge), pending.front() + (judge == 0 ? service.bias : 0.0));
                pending.pop_front();
            }
        }
        const int half = answers / 2;
        return qualitySum / (answers - half);
    }

    std::mt19937_64 m_random{3};
    std::uniform_real_distribution<double> m_unit{0.0, 1.0};
    ThresholdController m_controller{0.9, 0.5};
};

TEST_F(ThresholdControllerTest, rate_sampledRatings_meetTheTargetWithinAPercent)
{
    EXPECT_NEAR(run(100000, {}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_lateAndMostlyMissing_meetTheTarget)
{
    EXPECT_NEAR(run(200000, {0.05, 200, 0.0, 5}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_oneJudgeBiased_meetsTheTarget)
{
    EXPECT_NEAR(run(100000, {0.2, 0, -0.4, 5}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_serviceDown_keepsTheThreshold)
{
    run(50000, {});
    const auto before = m_controller.threshold();
    run(50000, {0.0, 0, 0.0, 5});
    EXPECT_EQ(m_controller.threshold(), before);
}

} // namespace ibisfork::policy
