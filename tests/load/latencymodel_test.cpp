#include "load/latencymodel.h"

#include <random>

#include <gtest/gtest.h>

namespace ibisfork::load {

using namespace std::chrono_literals;

class LatencyModelTest : public testing::Test
{
protected:
    static base::Duration milliseconds(double count)
    {
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(count));
    }

    /// Records @p count answers that take 20 ms and 0.02 ms a token, at engines in states of all kinds.
    void learn(int count)
    {
        std::uniform_int_distribution<std::uint64_t> tokens(100, 10000);
        std::uniform_real_distribution<double> pace(0.5, 2);
        for (int i = 0; i < count; ++i) {
            const auto read = tokens(m_random);
            const EngineState state{0, 8, 0, pace(m_random)};
            m_model.record(read, state, milliseconds((20 + 0.02 * static_cast<double>(read)) * state.pace));
        }
    }

    double firstByteMs(std::uint64_t tokens, const EngineState &state) const
    {
        return base::toSeconds(m_model.firstByte(tokens, state)) * 1000;
    }

    LatencyModel m_model;
    std::mt19937_64 m_random{7};
};

TEST_F(LatencyModelTest, fewAnswers_nothingIsLearned)
{
    learn(4);
    EXPECT_FALSE(m_model.isLearned());
    learn(8);
    EXPECT_TRUE(m_model.isLearned());
}

TEST_F(LatencyModelTest, manyAnswers_fixedTimeAndTimeOfATokenAreToldApart)
{
    learn(200);
    EXPECT_NEAR(firstByteMs(0, {}), 20, 1);
    EXPECT_NEAR(firstByteMs(10000, {}), 220, 3);
    EXPECT_NEAR(base::toSeconds(m_model.reading(5000)) * 1000, 100, 2);
}

TEST_F(LatencyModelTest, slowerOrFullerEngine_takesLonger)
{
    learn(200);
    const auto idle = firstByteMs(1000, {0, 8, 0, 1});
    EXPECT_NEAR(firstByteMs(1000, {0, 8, 0, 2}), 2 * idle, 1);
    EXPECT_GT(firstByteMs(1000, {4, 8, 0, 1}), idle);
    EXPECT_GT(firstByteMs(1000, {0, 8, 5000, 1}), idle + 90);
    EXPECT_GT(firstByteMs(1000, {24, 8, 0, 1}), 3 * idle);
}

TEST_F(LatencyModelTest, answersOfOneLength_estimateIsTheirMean)
{
    for (int i = 0; i < 50; ++i) {
        m_model.record(0, {}, 60ms);
    }
    EXPECT_NEAR(firstByteMs(0, {}), 60, 1);
    EXPECT_EQ(m_model.reading(1000), 0ms);
}

TEST_F(LatencyModelTest, oneAnswerAfterAPause_changesLittle)
{
    for (int i = 0; i < 200; ++i) {
        m_model.record(0, {}, 60ms);
    }
    m_model.record(0, {}, 60s);
    EXPECT_LT(firstByteMs(0, {}), 65);
}

} // namespace ibisfork::load
