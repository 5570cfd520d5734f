#include "gatewayfixture.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

using nlohmann::json;
using test::EngineReply;
using test::GatewayTest;

/// A route on which the node chooses among three models, and engines that report their confidence.
class ModelChoiceTest : public GatewayTest
{
protected:
    ModelChoiceTest()
    {
        auto &chat = m_configuration["routes"][2];
        chat["sizes"] = {"small", "middle", "large"};
        chat["goalMs"] = 300;
    }

    static EngineReply sure(int confidence)
    {
        return test::withHeader(test::streamReply(1, 2), "Ibisfork-Confidence: " + std::to_string(confidence));
    }

    test::Answer askAutoSelectedModel() { return ask(request("POST", "/chat/x", "Ibisfork-Model: *\r\n", "hello")); }

    static std::string modelOf(const http::Request &request)
    {
        return std::string(request.head.headers.find("Ibisfork-Model").value_or(""));
    }
};

TEST_F(ModelChoiceTest, smallModel_isSure_itsAnswerIsTaken)
{
    auto &engine = addEngine("e1");
    engine.willReply({sure(80)});
    start();
    EXPECT_EQ(askAutoSelectedModel().status, 200);
    ASSERT_EQ(engine.requests().size(), 1U);
    EXPECT_EQ(modelOf(engine.requests()[0]), "small");
}

TEST_F(ModelChoiceTest, smallModel_isUnsure_onlyTheLargeModelsAnswerIsHandedOn)
{
    auto &engine = addEngine("e1");
    engine.willReply({sure(10), sure(60)});
    start();
    const auto answer = askAutoSelectedModel();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.find("Ibisfork-Confidence"), "60");
    EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
    ASSERT_EQ(engine.requests().size(), 2U);
    EXPECT_EQ(modelOf(engine.requests()[1]), "large");
}

TEST_F(ModelChoiceTest, smallModel_isUnsureAndNoEngineIsFree_itsAnswerIsTaken)
{
    // A cold engine that accepts one start per second, which the first run has used.
    m_configuration["services"][0]["coldStartS"] = 5;
    m_configuration["services"][0]["coldPerS"] = 1;
    auto &engine = addEngine("e1");
    m_store.put("servers",
                "e1",
                json{{"service", "s"},
                     {"address", engine.address().text()},
                     {"zone", "d1"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"coldLeftMs", 5000},
                     {"seq", 2}}
                    .dump());
    m_settings.bounds.coldTolerance = 5;
    engine.willReply({sure(10), sure(60)});
    start();
    const auto answer = askAutoSelectedModel();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.find("Ibisfork-Confidence"), "10");
    EXPECT_EQ(engine.requests().size(), 1U);
}

TEST_F(ModelChoiceTest, secondRun_refusedByAllEngines_isNotCalledNotRun)
{
    auto &engine = addEngine("e1");
    engine.willReply({sure(10), test::refusal(503)});
    start();
    // The small model has already executed the request, so 503 (not executed) would be wrong.
    EXPECT_EQ(askAutoSelectedModel().status, 502);
}

TEST_F(ModelChoiceTest, routeWithoutModels_callerLeavesTheChoice_answerIsHandedOnWhateverItsConfidence)
{
    m_configuration["routes"][2].erase("sizes");
    auto &engine = addEngine("e1");
    engine.willReply({sure(0)});
    start();
    EXPECT_EQ(askAutoSelectedModel().status, 200);
    EXPECT_EQ(engine.requests().size(), 1U);
}

} // namespace ibisfork::gateway
