#include "gatewayfixture.h"
#include "socketcaller.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::EngineReply;
using test::SocketCaller;

/// A node whose memory is small beside what its connections may hold: heads, requests sent ahead, unsent streams.
class HeldConnectionsTest : public test::GatewayTest
{
protected:
    void startNode()
    {
        m_settings.limits.memory = 8 * megabyte;
        for (auto &route : m_configuration["routes"]) {
            route["timeoutMs"] = 15000;
            route["goalMs"] = 12000;
            route["itlTargetMs"] = 12000;
        }
        m_configuration["limits"]["maxHeaderBytes"] = 16384;
        start();
        m_mostBytes = std::stoul(metric("ibisfork_held_bytes_most "));
        ASSERT_LE(m_mostBytes, megabyte);
    }

    std::size_t heldBytes() { return std::stoul(metric("ibisfork_held_bytes ")); }

    std::vector<std::unique_ptr<SocketCaller>> connected(std::size_t count)
    {
        std::vector<std::unique_ptr<SocketCaller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<SocketCaller>(m_gateway->callers()));
        }
        return callers;
    }

    /// A stream of @p events events of 10 kB.
    static EngineReply longStream(std::size_t events)
    {
        EngineReply reply{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nIbisfork-Attempt-Id: ID\r\n"
                          "Ibisfork-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"};
        for (std::size_t i = 1; i <= events; ++i) {
            const auto event = fmt::format("id: {}\ndata: {}\n\n", i, std::string(10000, 'e'));
            reply.bytes += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        reply.bytes += "0\r\n\r\n";
        return reply;
    }

    std::size_t m_mostBytes = 0;
};

TEST_F(HeldConnectionsTest, unfinishedHeads_moreThanTheMemoryHolds_areRefused)
{
    addEngine("e1").willReply({test::plainReply(200, "one")});
    startNode();
    const auto callers = connected(100);
    for (const auto &caller : callers) {
        caller->send("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + std::string(12000, 'x'));
    }
    runFor(100ms);
    EXPECT_LE(heldBytes(), m_mostBytes);
    std::size_t refused = 0;
    for (const auto &caller : callers) {
        caller->read(4096);
        refused += caller->received().starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, callers.size());
    EXPECT_TRUE(until([this] { return heldBytes() == 0; }));
    EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
}

TEST_F(HeldConnectionsTest, requestsSentAhead_moreThanTheMemoryHolds_areServedLater)
{
    constexpr std::size_t ahead = 6;
    addEngine("e1").willDecide([](const http::Request &request) {
        auto reply = test::plainReply(200, "one");
        reply.delay = request.head.target == "/read/slow" ? 1000ms : 0ms;
        return reply;
    });
    startNode();
    const auto callers = connected(40);
    for (const auto &caller : callers) {
        std::string bytes = request("GET", "/read/slow");
        for (std::size_t i = 0; i < ahead; ++i) {
            bytes += request("GET", "/read/x", "X-Long: " + std::string(10000, 'x') + "\r\n");
        }
        caller->send(bytes);
    }
    runFor(500ms);
    EXPECT_LE(heldBytes(), m_mostBytes);
    EXPECT_TRUE(until(
        [&] {
            return std::all_of(callers.begin(), callers.end(), [&](const auto &caller) {
                caller->read(65536);
                const auto &text = caller->received();
                const auto refused = countOf(text, "HTTP/1.1 503");
                return refused > 0 || countOf(text, "HTTP/1.1 200") == ahead + 1;
            });
        },
        20s));
    EXPECT_TRUE(until([this] { return heldBytes() == 0; }));
}

TEST_F(HeldConnectionsTest, streamsOfCallersThatReadNothing_stayWithTheirEnginesAndArriveWhole)
{
    constexpr std::size_t events = 1000;
    addEngine("e1").willReply({longStream(events)});
    startNode();
    const auto callers = connected(6);
    for (const auto &caller : callers) {
        caller->send(request("POST", "/chat/x", {}, "a"));
    }
    for (int i = 0; i < 10; ++i) {
        runFor(100ms);
        EXPECT_LE(heldBytes(), m_mostBytes);
    }
    const auto isWhole = [](const auto &caller) {
        caller->readAll();
        return caller->received().ends_with("0\r\n\r\n");
    };
    EXPECT_TRUE(until([&] { return std::count_if(callers.begin(), callers.end(), isWhole) == 6; }, 12s));
    for (const auto &caller : callers) {
        EXPECT_EQ(countOf(caller->received(), "data: e"), events);
    }
    EXPECT_TRUE(until([this] { return heldBytes() == 0; }));
}

TEST_F(HeldConnectionsTest, callerReadsNothing_memoryAllowsMore_engineIsReadOn)
{
    addEngine("e1").willReply({longStream(1500)});
    start();
    const SocketCaller caller(m_gateway->callers());
    caller.send(request("POST", "/chat/x", {}, "a"));
    EXPECT_TRUE(until([this] { return heldBytes() > 2 * megabyte; }));
}

TEST_F(HeldConnectionsTest, memoryIsShort_callerThatReadsNothingIsEnded_andTheOtherGetsItsAnswer)
{
    constexpr std::size_t events = 1000;
    addEngine("e1").willReply({longStream(events)});
    startNode();
    SocketCaller slow(m_gateway->callers());
    slow.send(request("POST", "/chat/x", {}, "a"));
    SocketCaller other(m_gateway->callers());
    other.send(request("POST", "/chat/x", {}, "a"));
    EXPECT_TRUE(until(
        [&] {
            other.readAll();
            return other.received().ends_with("0\r\n\r\n");
        },
        12s));
    EXPECT_EQ(countOf(other.received(), "data: e"), events);
    const auto ended = [this] {
        return metric("ibisfork_slow_callers_ended_total") == "1";
    };
    EXPECT_TRUE(until(ended, 10s));
    slow.readAll();
    EXPECT_FALSE(slow.received().ends_with("0\r\n\r\n"));
}

TEST_F(HeldConnectionsTest, eventsThatNeverEnd_fromManyStreams_areGivenUpWithinTheMemory)
{
    EngineReply reply{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nIbisfork-Attempt-Id: ID\r\n"
                      "Ibisfork-Response-Seal: s\r\n\r\nid: 1\ndata: "
                      + std::string(200000, 'e')};
    addEngine("e1").willReply({reply});
    startNode();
    const auto callers = connected(20);
    for (const auto &caller : callers) {
        caller->send(request("POST", "/chat/x", {}, "a"));
    }
    for (int i = 0; i < 5; ++i) {
        runFor(100ms);
        EXPECT_LE(heldBytes(), m_mostBytes);
    }
    EXPECT_GT(m_engines["e1"]->requests().size(), 0);
}

} // namespace ibisfork::gateway
