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
            auto entry = test::engineEntry(brittle.engine->address());
            entry["slots"] = slots;
            m_store.put("servers", "e" + std::to_string(i), entry.dump());
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
        const auto waiting = (brittle.inFlight - 1) / slots;
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

/// Nodes that send to one brittle engine.
class BrittleShareTest : public testing::TestWithParam<unsigned>
{
protected:
    static constexpr std::uint32_t slots = 64;
    static constexpr base::TimePoint now{std::chrono::seconds(1000)};

    static EngineTracker engines()
    {
        EngineTracker tracker;
        EngineEntry entry;
        entry.id = "e0";
        entry.service = "s";
        entry.slots = slots;
        tracker.put(entry, now);
        tracker.recordRefusalLimit("e0", 3);
        return tracker;
    }

    static PlacementRequest requestOf(const std::string &node, const std::set<std::string> &names)
    {
        PlacementRequest request;
        request.node = node;
        request.nodeNames = &names;
        request.nodes = static_cast<unsigned>(names.size());
        return request;
    }

    /// Requests that a node may have in flight at the engine.
    static unsigned shareOf(const PlacementRequest &request)
    {
        auto tracker = engines();
        EnginePlacement placement(1);
        unsigned count = 0;
        while (count <= slots && placement.choose(tracker.ofService("s"), request, now).engine != nullptr) {
            tracker.recordSent("e0", 0, base::TimePoint{});
            ++count;
        }
        return count;
    }
};

TEST_P(BrittleShareTest, sharesOfAllNodes_fillTheSlotsAndNoMore)
{
    std::set<std::string> names;
    for (unsigned i = 0; i < GetParam(); ++i) {
        names.insert("n" + std::to_string(i));
    }
    unsigned sum = 0;
    for (const auto &name : names) {
        sum += shareOf(requestOf(name, names));
    }
    EXPECT_EQ(sum, slots);
}

INSTANTIATE_TEST_SUITE_P(Nodes, BrittleShareTest, testing::Values(1U, 7U, 30U, 64U, 89U, 380U));

TEST_F(BrittleShareTest, engineRefused_nodeWaitsForItsShareOfTheRefusals)
{
    auto tracker = engines();
    EnginePlacement placement(1);
    const std::set<std::string> names{"a", "b", "c"};
    const auto request = requestOf("a", names);
    tracker.recordRefusal("e0", 3, now);
    EXPECT_EQ(placement.choose(tracker.ofService("s"), request, now + 900ms).engine, nullptr);
    EXPECT_NE(placement.choose(tracker.ofService("s"), request, now + 1s).engine, nullptr);
}

TEST_F(BrittleShareTest, engineSaysItNoMore_nodeIsFreeAgain)
{
    auto tracker = engines();
    tracker.recordRefusal("e0", 3, now);
    EXPECT_TRUE(tracker.recordRefusalLimit("e0", std::nullopt));
    const std::set<std::string> names{"a", "b", "c"};
    EnginePlacement placement(1);
    EXPECT_NE(placement.choose(tracker.ofService("s"), requestOf("a", names), now).engine, nullptr);
}

} // namespace ibisfork::gateway
