#include <gtest/gtest.h>

#include <algorithm>
#include <list>

#include <fmt/format.h>

#include "gatewayfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;
using test::FakeEngine;

/// Several nodes under more load than the engines take. Each engine says in all its answers how many requests it may
/// refuse in a second before it fails, and lets few requests wait after a while.
class BrittleEngineTest : public test::GatewayTest
{
protected:
    static constexpr std::size_t nodes = 3;
    static constexpr std::size_t engines = 3;
    static constexpr std::size_t slots = 4;
    static constexpr std::size_t longQueue = 30;
    static constexpr std::size_t shortQueue = 1;
    static constexpr std::size_t maxRefusals = 3;
    static constexpr std::chrono::milliseconds runTime{100};
    /// Half as much again as the engines can run.
    static constexpr std::chrono::milliseconds sendInterval{6};

    struct Brittle
    {
        std::unique_ptr<FakeEngine> engine;
        std::size_t inFlight = 0;
        std::vector<base::TimePoint> refusals;
        std::size_t falls = 0;
    };

    BrittleEngineTest()
        : m_send(m_base.get(), [this] { send(); })
    { }

    void startEngines()
    {
        for (std::size_t i = 0; i < engines; ++i) {
            auto &brittle = m_brittle.emplace_back();
            brittle.engine = std::make_unique<FakeEngine>(m_base.get());
            brittle.engine->willDecide([this, &brittle](const http::Request &) { return answer(brittle); });
            m_store.put("servers",
                        "e" + std::to_string(i),
                        nlohmann::json{{"service", "s"},
                                       {"address", brittle.engine->address().text()},
                                       {"zone", "d1"},
                                       {"version", "v1"},
                                       {"slots", slots},
                                       {"state", "ready"},
                                       {"coldLeftMs", 0},
                                       {"seq", 1}}
                            .dump());
        }
    }

    test::EngineReply answer(Brittle &brittle)
    {
        const auto load = fmt::format("Server-Brittle: {}\r\nIbisfork-Engine-Load: {},{},{}\r\n",
                                      maxRefusals,
                                      std::min(brittle.inFlight, slots),
                                      brittle.inFlight - std::min(brittle.inFlight, slots),
                                      slots);
        if (brittle.inFlight >= slots + m_queue) {
            refuse(brittle);
            return test::plainReply(503, "", load + "Ibisfork-Not-Executed: 1\r\n");
        }
        ++brittle.inFlight;
        const auto waiting = brittle.inFlight / slots;
        auto reply = test::plainReply(200, "good", load + "Ibisfork-Response-Seal: s\r\n");
        reply.delay = runTime * (1 + static_cast<int>(waiting));
        after(reply.delay, [&brittle] { --brittle.inFlight; });
        return reply;
    }

    void refuse(Brittle &brittle)
    {
        const auto now = base::monotonicNow();
        std::erase_if(brittle.refusals, [&](base::TimePoint at) { return now - at > 1s; });
        brittle.refusals.push_back(now);
        if (brittle.refusals.size() > maxRefusals) {
            ++brittle.falls;
            brittle.refusals.clear();
        }
    }

    void after(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_timers.push_back(std::make_unique<net::Timer>(m_base.get(), std::move(action)));
        m_timers.back()->startOnce(delay);
    }

    void startNodes()
    {
        configure();
        for (std::size_t i = 0; i < nodes; ++i) {
            auto settings = m_settings;
            settings.node.name = "n" + std::to_string(i);
            m_gateways.push_back(std::make_unique<Gateway>(m_base.get(), settings, m_registries[i]));
            m_gateways.back()->start();
        }
        ASSERT_TRUE(until([this] {
            return std::all_of(m_gateways.begin(), m_gateways.end(), [](const auto &item) { return item->ready(); });
        }));
        runFor(800ms);
    }

    void send()
    {
        const auto &gateway = m_gateways[m_calls.size() % nodes];
        m_calls.push_back(std::make_unique<FakeCaller>(m_base.get(), gateway->callers()));
        m_calls.back()->send(request("GET", "/read/x"));
    }

    std::size_t falls() const
    {
        std::size_t count = 0;
        for (const auto &brittle : m_brittle) {
            count += brittle.falls;
        }
        return count;
    }

    std::size_t served() const
    {
        const auto isServed = [](const auto &call) {
            return call->answer().status == 200;
        };
        return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), isServed));
    }

    std::size_t m_queue = longQueue;
    std::list<Brittle> m_brittle;
    std::map<std::size_t, base::MetricsRegistry> m_registries;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<std::unique_ptr<FakeCaller>> m_calls;
    std::vector<std::unique_ptr<net::Timer>> m_timers;
    net::Timer m_send;
};

TEST_F(BrittleEngineTest, moreLoadThanTheEnginesTake_theyAreNotMadeToRefuseUntilTheyFail)
{
    startEngines();
    startNodes();
    m_send.startEvery(sendInterval);
    runFor(1s);
    m_queue = shortQueue;
    runFor(1s);
    for (auto &brittle : m_brittle) {
        brittle.falls = 0;
    }
    const auto before = served();
    runFor(3s);
    m_send.stop();
    EXPECT_LE(falls(), 2U + engines / 10);
    // The engines could run 120 requests a second.
    EXPECT_GE(served() - before, 180U);
}

} // namespace ibisfork::gateway
