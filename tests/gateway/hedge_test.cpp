#include "gatewayfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

/// A node that may send second copies of slow requests.
class HedgeTest : public test::GatewayTest
{
protected:
    static constexpr int requestsToLearn = 30;
    static constexpr auto slow = 1000ms;

    HedgeTest()
    {
        m_settings.hedging = {1, 1};
        for (auto &route : m_configuration["routes"]) {
            // Slow answers are not yet silent ones.
            route["goalMs"] = 1800;
        }
    }

    void SetUp() override
    {
        for (const auto *id : {"e1", "e2"}) {
            addEngine(id).willDecide([this, id](const http::Request &) {
                auto reply = m_slowReply && m_slowEngine == id ? *m_slowReply : test::plainReply(200, id);
                return reply;
            });
        }
    }

    /// Lets the node see how long answers usually take, and slows the first engine from then on.
    void learn() { learn(withDelay(test::plainReply(200, "slow"))); }
    void learn(test::EngineReply slowReply)
    {
        start();
        for (int i = 0; i < requestsToLearn; ++i) {
            EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
        }
        m_slowEngine = "e1";
        m_slowReply = std::move(slowReply);
    }

    static test::EngineReply withDelay(test::EngineReply reply, std::chrono::milliseconds delay = slow)
    {
        reply.delay = delay;
        return reply;
    }

    /// Asks until a request has come to the slow engine first; its answer.
    test::Answer askSlow(const std::string &bytes)
    {
        const auto &seen = m_engines["e1"]->requests();
        const auto before = seen.size();
        test::Answer answer;
        for (int i = 0; i < 64 && seen.size() == before; ++i) {
            answer = ask(bytes);
        }
        EXPECT_GT(seen.size(), before);
        return answer;
    }

    std::size_t hedges(const char *outcome)
    {
        return m_metrics.counter("ibisfork_hedges_total", {{"service", "s"}, {"outcome", outcome}}).value();
    }

    std::string m_slowEngine;
    std::optional<test::EngineReply> m_slowReply;
};

TEST_F(HedgeTest, slowEngine_requestMayBeRepeated_copyAnswersAndTheFirstIsCancelled)
{
    learn();
    EXPECT_EQ(askSlow(request("GET", "/read/x")).body, "e2");
    EXPECT_EQ(hedges("won"), 1U);
    EXPECT_TRUE(until([&] { return m_engines["e1"]->open() == 0; }));
}

TEST_F(HedgeTest, slowEngine_requestMayRunOnce_isSentOnce)
{
    learn();
    const auto before = m_engines["e2"]->requests().size();
    // One of the requests before may have been slow.
    const auto copiesBefore = hedges("sent");
    FakeCaller caller(m_base.get(), m_gateway->callers());
    caller.send(request("POST", "/book/x", {}, "a"));
    until([&] { return caller.done(); });
    EXPECT_EQ(caller.answer().status, 200);
    EXPECT_EQ(hedges("sent"), copiesBefore);
    const auto atSecond = m_engines["e2"]->requests().size() - before;
    EXPECT_EQ(atSecond, caller.answer().body == "e2" ? 1U : 0U);
}

TEST_F(HedgeTest, noShareIsSet_nothingIsSentTwice)
{
    m_settings.hedging = {};
    learn();
    EXPECT_EQ(askSlow(request("GET", "/read/x")).body, "slow");
    EXPECT_EQ(hedges("sent"), 0U);
}

TEST_F(HedgeTest, routeAllowsOneRun_noCopyIsSent)
{
    m_configuration["routes"][0]["maxAttempts"] = 1;
    learn();
    EXPECT_EQ(askSlow(request("GET", "/read/x")).body, "slow");
    EXPECT_EQ(hedges("sent"), 0U);
}

TEST_F(HedgeTest, firstAttemptFails_copyStillAnswers)
{
    learn(withDelay(test::plainReply(500, "broken"), 150ms));
    m_engines["e2"]->willDecide([](const http::Request &) { return withDelay(test::plainReply(200, "e2"), 400ms); });
    EXPECT_EQ(askSlow(request("GET", "/read/x")).body, "e2");
}

TEST_F(HedgeTest, copyIsRefused_firstAttemptAnswers)
{
    learn();
    m_engines["e2"]->willDecide([](const http::Request &) { return test::refusal(503); });
    EXPECT_EQ(askSlow(request("GET", "/read/x")).body, "slow");
}

TEST_F(HedgeTest, callerLeaves_bothAreCancelled)
{
    learn();
    m_engines["e2"]->willDecide([](const http::Request &) { return withDelay(test::plainReply(200, "e2")); });
    // One of the requests before may have been slow.
    const auto copiesBefore = hedges("sent");
    FakeCaller caller(m_base.get(), m_gateway->callers());
    caller.send(request("GET", "/read/x"));
    until([&] { return hedges("sent") > copiesBefore; });
    caller.leave();
    EXPECT_TRUE(until([&] { return m_engines["e1"]->open() == 0 && m_engines["e2"]->open() == 0; }, 800ms));
}

} // namespace ibisfork::gateway
