#include "gatewayfixture.h"
#include "socketcaller.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;
using test::SocketCaller;

/// A node whose memory holds a few long bodies at a time.
class HeldBodiesTest : public test::GatewayTest
{
protected:
    static constexpr std::size_t longBody = 4 * megabyte;
    static constexpr std::size_t usualBody = 72UL * 1024;
    static constexpr std::size_t callerCount = 8;

    void startNode()
    {
        m_settings.limits.memory = 48 * megabyte;
        m_configuration["limits"]["maxBodyBytes"] = longBody;
        for (auto &route : m_configuration["routes"]) {
            route["timeoutMs"] = 10000;
            route["goalMs"] = 8000;
        }
        // Both hold long bodies, so that some are held whichever engine each of them reaches.
        for (const auto *engine : {"e1", "e2"}) {
            addEngine(engine).willDecide([this](const http::Request &request) {
                auto reply = test::plainReply(200, "ok");
                reply.delay = request.body.size() == longBody ? m_longTime : 0ms;
                return reply;
            });
        }
        start();
    }

    /// Sends long bodies at the same time from as many callers, until all but the held ones are answered.
    void sendLongBodies()
    {
        for (std::size_t i = 0; i < callerCount; ++i) {
            m_callers.push_back(std::make_unique<FakeCaller>(m_base.get(), m_gateway->callers()));
            m_callers.back()->send(request("POST", "/book/x", {}, std::string(longBody, 'b')));
        }
    }

    std::size_t answeredWith(int status) const
    {
        std::size_t count = 0;
        for (const auto &caller : m_callers) {
            count += caller->answer().complete && caller->answer().status == status ? 1 : 0;
        }
        return count;
    }

    bool allDone() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const auto &caller) { return caller->done(); });
    }

    std::size_t runs(std::size_t bodyBytes) const
    {
        std::size_t count = 0;
        for (const auto &engine : m_engines) {
            for (const auto &run : engine.second->requests()) {
                count += run.body.size() == bodyBytes ? 1 : 0;
            }
        }
        return count;
    }

    static std::string inChunks(std::size_t bytes)
    {
        constexpr std::size_t chunkBytes = 64UL * 1024;
        std::string text = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: a1\r\n"
                           "Ibisfork-Credential: key1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t i = 0; i < bytes / chunkBytes; ++i) {
            text += fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'c'));
        }
        return text + "0\r\n\r\n";
    }

    std::vector<std::unique_ptr<FakeCaller>> m_callers;
    std::chrono::milliseconds m_longTime{1500};
};

TEST_F(HeldBodiesTest, longBodies_beyondTheMemory_areRefusedWithATimeAndNotRun)
{
    startNode();
    sendLongBodies();
    ASSERT_TRUE(until([this] { return allDone(); }, 20s));
    const auto refused = answeredWith(503);
    EXPECT_GT(refused, 0);
    EXPECT_GT(answeredWith(200), 0);
    EXPECT_EQ(answeredWith(200) + refused, callerCount);
    EXPECT_EQ(runs(longBody), answeredWith(200));
    for (const auto &caller : m_callers) {
        EXPECT_EQ(caller->answer().headers.find("Retry-After").has_value(), caller->answer().status == 503);
    }
}

TEST_F(HeldBodiesTest, usualRequests_whileLongBodiesAreHeld_areServed)
{
    m_longTime = 4000ms;
    startNode();
    sendLongBodies();
    ASSERT_TRUE(until([this] { return answeredWith(503) > 0; }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(ask(request("POST", "/book/x", {}, std::string(usualBody, 'u'))).status, 200);
    }
    EXPECT_FALSE(allDone());
}

TEST_F(HeldBodiesTest, heldBytes_onceAllAreAnswered_areGivenBack)
{
    startNode();
    sendLongBodies();
    ASSERT_TRUE(until([this] { return answeredWith(503) > 0; }));
    EXPECT_GE(std::stoul(metric("ibisfork_held_bytes ")), longBody);
    ASSERT_TRUE(until([this] { return allDone(); }, 20s));
    const auto refused = answeredWith(503);
    m_callers.clear();
    EXPECT_TRUE(until([this] { return metric("ibisfork_held_bytes ") == "0"; }));
    // Counted as the connection ends.
    EXPECT_TRUE(
        until([&] { return metric("ibisfork_memory_refusals_total{reason=\"body\"}") == std::to_string(refused); }));
    EXPECT_EQ(ask(request("POST", "/book/x", {}, std::string(longBody, 'b'))).status, 200);
}

TEST_F(HeldBodiesTest, bodyInChunks_whileLongBodiesAreHeld_isRefused)
{
    m_longTime = 4000ms;
    startNode();
    sendLongBodies();
    ASSERT_TRUE(until([this] { return answeredWith(503) > 0; }));
    EXPECT_EQ(ask(inChunks(longBody)).status, 503);
    EXPECT_EQ(ask(inChunks(64UL * 1024)).status, 200);
}

TEST_F(HeldBodiesTest, bodyInChunks_withinTheMemory_arrivesWhole)
{
    startNode();
    EXPECT_EQ(ask(inChunks(longBody)).status, 200);
    EXPECT_EQ(runs(longBody), 1);
}

TEST_F(HeldBodiesTest, callerThatSendsSlowly_afterTheRefusal_readsTheAnswer)
{
    m_longTime = 8000ms;
    startNode();
    sendLongBodies();
    ASSERT_TRUE(until([this] { return answeredWith(503) > 0; }));
    SocketCaller caller(m_gateway->callers());
    const auto bytes = request("POST", "/book/x", {}, std::string(longBody, 'b'));
    // Longer than the time that a caller gets to close its side.
    constexpr std::size_t steps = 40;
    for (std::size_t i = 0; i <= steps; ++i) {
        const auto piece = bytes.size() / steps;
        caller.send(bytes.substr(std::min(bytes.size(), i * piece), piece));
        runFor(80ms);
    }
    until([&] { return !caller.read(4096) || !caller.received().empty(); });
    EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 503");
}

} // namespace ibisfork::gateway
