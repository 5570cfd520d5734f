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
    struct Service
    {
        /// Fraction of answers that are rated.
        double sampled = 0.2;
        /// Delay of a rating, in rated answers.
        std::size_t delay = 0;
        /// Added to each score of the first judge.
        double bias = 0.0;
        int judges = 5;
    };

    /// Returns the mean quality over the second half of @p answers.
    double run(int answers, const Service &service)
    {
        std::deque<double> late;
        double good = 0;
        for (int answer = 0; answer < answers; ++answer) {
            const auto confidence = m_unit(m_random);
            const auto quality = m_loop.escalates(confidence) ? 0.98 : confidence;
            const auto score = m_unit(m_random) < quality ? 1.0 : 0.0;
            good += answer >= answers / 2 ? score : 0.0;
            if (m_unit(m_random) < service.sampled) {
                late.push_back(score);
            }
            if (late.size() > service.delay) {
                const auto judge = static_cast<int>(m_unit(m_random) * service.judges);
                m_loop.rate(std::to_string(judge), late.front() + (judge == 0 ? service.bias : 0.0));
                late.pop_front();
            }
        }
        const int half = answers / 2;
        return good / (answers - half);
    }

    std::mt19937_64 m_random{3};
    std::uniform_real_distribution<double> m_unit{0.0, 1.0};
    ThresholdController m_loop{0.9, 0.5};
};

TEST_F(ThresholdControllerTest, rate_sampledRatings_holdTheTargetWithinAPercent)
{
    EXPECT_NEAR(run(100000, {}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_lateAndMostlyMissing_stillHold)
{
    EXPECT_NEAR(run(200000, {0.05, 200, 0.0, 5}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_oneJudgeBiased_doesNotMoveIt)
{
    EXPECT_NEAR(run(100000, {0.2, 0, -0.4, 5}), 0.9, 0.01);
}

TEST_F(ThresholdControllerTest, rate_serviceDown_keepsItsThreshold)
{
    run(50000, {});
    const auto before = m_loop.threshold();
    run(50000, {0.0, 0, 0.0, 5});
    EXPECT_EQ(m_loop.threshold(), before);
}

} // namespace ibisfork::policy
