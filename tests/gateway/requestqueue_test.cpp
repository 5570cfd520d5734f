#include "gatewayfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

/// A node whose requests wait while its one engine has no room.
class RequestQueueTest : public test::GatewayTest
{
protected:
    static constexpr auto usualRun = 100ms;

    RequestQueueTest()
    {
        m_settings.waiting.most = 100;
        for (auto &route : m_configuration["routes"]) {
            route["goalMs"] = 1200;
        }
    }

    void SetUp() override
    {
        addEngine("e1").willDecide([this](const http::Request &) {
            auto reply
                = test::plainReply(200, "ok", "Ibisfork-Response-Seal: s\r\nIbisfork-Engine-Load: " + m_load + "\r\n");
            reply.delay = m_run;
            return reply;
        });
    }

    /// The node has heard that the engine is full, and knows how long its runs take.
    void startFull()
    {
        start();
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
        }
        m_load = full;
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }

    std::unique_ptr<FakeCaller> send(const std::string &bytes)
    {
        auto caller = std::make_unique<FakeCaller>(m_base.get(), m_gateway->callers());
        caller->send(bytes);
        return caller;
    }

    /// The one request that an engine gets when it was full a run ago.
    std::unique_ptr<FakeCaller> sendProbe()
    {
        const auto before = atEngine();
        auto probe = send(request("GET", "/read/x"));
        EXPECT_TRUE(until([&] { return atEngine() == before + 1; }));
        return probe;
    }

    /// As sendProbe(); its run takes so long that others come to wait meanwhile.
    std::unique_ptr<FakeCaller> sendLongProbe()
    {
        m_run = 400ms;
        auto probe = sendProbe();
        m_run = usualRun;
        return probe;
    }

    std::uint64_t refused()
    {
        return m_metrics.counter("ibisfork_admission_refused_total", {{"service", "s"}}).value();
    }
    std::size_t atEngine() { return m_engines["e1"]->requests().size(); }
    std::int64_t waiting() { return m_metrics.gauge("ibisfork_admission_waiting", {{"service", "s"}}).value(); }

    static constexpr const char *full = "12,4,8";
    std::string m_load = "0,0,8";
    std::chrono::milliseconds m_run = usualRun;
};

TEST_F(RequestQueueTest, engineIsFull_requestsWait_andAreServedOnceThereIsRoom)
{
    startFull();
    const auto probe = sendLongProbe();
    const auto before = atEngine();
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(send(request("POST", "/book/x", {}, "a")));
    }
    EXPECT_TRUE(until([&] { return waiting() == 4; }));
    EXPECT_EQ(atEngine(), before);
    m_load = "0,0,8";
    for (const auto &caller : callers) {
        EXPECT_TRUE(until([&] { return caller->done(); }));
        EXPECT_EQ(caller->answer().status, 200);
    }
    EXPECT_EQ(waiting(), 0);
}

TEST_F(RequestQueueTest, noneMayWait_requestsAreSentAtOnce)
{
    m_settings.waiting.most = 0;
    startFull();
    m_run = 1500ms;
    const auto before = atEngine();
    const auto first = send(request("POST", "/book/x", {}, "a"));
    const auto second = send(request("POST", "/book/x", {}, "a"));
    EXPECT_TRUE(until([&] { return atEngine() == before + 2; }));
}

TEST_F(RequestQueueTest, engineStaysFull_requestIsRefusedAsNotRun_withATimeToReturn)
{
    m_configuration["routes"][1]["goalMs"] = 150;
    startFull();
    m_run = 1000ms;
    const auto probe = sendProbe();
    const auto before = atEngine();
    const auto answer = ask(request("POST", "/book/x", {}, "a"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After").has_value());
    EXPECT_EQ(atEngine(), before);
    EXPECT_EQ(refused(), 1U);
}

TEST_F(RequestQueueTest, engineStaysFull_requestThatHasWaited_isRefusedBeforeItsObjective)
{
    m_configuration["routes"][1]["goalMs"] = 900;
    startFull();
    m_run = 1900ms;
    const auto probe = sendProbe();
    const auto before = atEngine();
    const auto caller = send(request("POST", "/book/x", {}, "a"));
    EXPECT_TRUE(until([&] { return waiting() == 1; }));
    EXPECT_TRUE(until([&] { return caller->done(); }));
    EXPECT_EQ(caller->answer().status, 503);
    EXPECT_EQ(atEngine(), before);
    EXPECT_EQ(refused(), 1U);
}

TEST_F(RequestQueueTest, callerLeavesWhileItWaits_nothingReachesTheEngine)
{
    startFull();
    const auto probe = sendLongProbe();
    const auto before = atEngine();
    const auto caller = send(request("POST", "/book/x", {}, "a"));
    EXPECT_TRUE(until([&] { return waiting() == 1; }));
    caller->leave();
    EXPECT_TRUE(until([&] { return waiting() == 0; }));
    runFor(2 * usualRun);
    EXPECT_EQ(atEngine(), before);
}

TEST_F(RequestQueueTest, keyIsRemovedWhileARequestWaits_itIsRefused)
{
    startFull();
    m_run = 400ms;
    const auto probe = sendProbe();
    const auto before = atEngine();
    const auto caller = send(request("POST", "/book/x", {}, "a"));
    EXPECT_TRUE(until([&] { return waiting() == 1; }));
    m_configuration["version"] = 8;
    m_configuration["tenants"][0]["apiKeys"] = {"key2"};
    configure();
    EXPECT_TRUE(until([&] { return caller->done(); }));
    EXPECT_EQ(caller->answer().status, 401);
    EXPECT_EQ(atEngine(), before);
}

TEST_F(RequestQueueTest, moreUrgentRequestComesLater_itIsServedFirst)
{
    m_configuration["routes"][0]["priority"] = 0;
    m_configuration["routes"][1]["priority"] = 3;
    startFull();
    const auto probe = sendLongProbe();
    std::vector<std::unique_ptr<FakeCaller>> callers;
    callers.push_back(send(request("POST", "/book/x", {}, "a")));
    callers.push_back(send(request("POST", "/book/x", {}, "a")));
    EXPECT_TRUE(until([&] { return waiting() == 2; }));
    callers.push_back(send(request("GET", "/read/urgent")));
    EXPECT_TRUE(until([&] { return waiting() == 3; }));
    const auto before = atEngine();
    EXPECT_TRUE(until([&] { return atEngine() > before; }));
    EXPECT_EQ(m_engines["e1"]->requests()[before].head.target, "/read/urgent");
}

} // namespace ibisfork::gateway
