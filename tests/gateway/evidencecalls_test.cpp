#include <list>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include "gatewayfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

/// Fleets of different sizes in this process, with the same load, that learn from their runs.
class EvidenceCallsTest : public test::GatewayTest
{
protected:
    static constexpr unsigned smallFleet = 7;
    static constexpr unsigned largeFleet = 70;
    static constexpr unsigned domains = 5;
    static constexpr unsigned enginesPerVersion = 4;
    static constexpr unsigned requests = 700;

    /// A fleet, its store and its engines.
    struct Fleet
    {
        explicit Fleet(event_base *base)
            : store(base)
        { }

        test::FakeStore store;
        std::list<test::FakeEngine> engines;
        std::list<base::MetricsRegistry> metrics;
        std::vector<std::unique_ptr<Gateway>> nodes;
        unsigned serial = 0;
    };

    /// What it cost the store that the nodes learnt something, and how long it took.
    struct Learnt
    {
        std::uint64_t writes = 0;
        std::uint64_t calls = 0;
        base::Duration after{};
    };

    struct Sent
    {
        std::unique_ptr<FakeCaller> caller;
        base::TimePoint at;
    };

    std::unique_ptr<Fleet> startFleet(unsigned nodes)
    {
        auto fleet = std::make_unique<Fleet>(m_base.get());
        fleet->store.put("op", "config", m_configuration.dump());
        addEngines(*fleet, "v1", 200);
        for (unsigned i = 0; i < nodes; ++i) {
            auto settings = m_settings;
            settings.node = {fmt::format("n{}", i), fmt::format("d{}", i % domains), "r1"};
            settings.store = fleet->store.address();
            settings.bounds.resendExtra = 500;
            // So much that no fleet is held back by it.
            settings.bounds.exposureTolerance = 10000;
            auto &metrics = fleet->metrics.emplace_back();
            fleet->nodes.push_back(std::make_unique<Gateway>(m_base.get(), settings, metrics));
            fleet->nodes.back()->start();
            EXPECT_TRUE(until([&] { return fleet->nodes.back()->ready(); }));
        }
        // All nodes read of each other.
        runFor(2s);
        return fleet;
    }

    void addEngines(Fleet &fleet, const std::string &version, int status)
    {
        for (unsigned i = 0; i < enginesPerVersion; ++i) {
            auto &engine = fleet.engines.emplace_back(m_base.get());
            engine.willReply({test::plainReply(status, "x")});
            auto entry = test::engineEntry(engine.address());
            entry["version"] = version;
            fleet.store.put("servers", fmt::format("{}-{}", version, i), entry.dump());
        }
    }

    static std::uint64_t calls(Fleet &fleet, bool writesOnly)
    {
        std::uint64_t sum = 0;
        for (auto &metrics : fleet.metrics) {
            sum += test::storeCalls(metrics);
            if (writesOnly) {
                sum -= test::storeCalls(metrics, StoreCallCause::TableRead)
                    + test::storeCalls(metrics, StoreCallCause::TableFeed);
            }
        }
        return sum;
    }

    void send(Fleet &fleet, std::list<Sent> &sent)
    {
        const auto &node = *fleet.nodes[fleet.serial % fleet.nodes.size()];
        auto caller = std::make_unique<FakeCaller>(m_base.get(), node.callers());
        caller->send(fmt::format("GET /read/x HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: a{}\r\n"
                                 "Ibisfork-Credential: key1\r\n\r\n",
                                 fleet.serial++));
        sent.push_back({std::move(caller), base::monotonicNow()});
    }

    /// Sends requests to all nodes in turn until @p isKnown.
    Learnt learn(Fleet &fleet, const std::function<bool()> &isKnown)
    {
        const auto writes = calls(fleet, true);
        const auto all = calls(fleet, false);
        const auto began = base::monotonicNow();
        std::list<Sent> sent;
        unsigned done = 0;
        for (; done < requests && !isKnown(); ++done) {
            send(fleet, sent);
            runFor(5ms);
            sent.remove_if([](const Sent &item) { return item.caller->done(); });
        }
        EXPECT_TRUE(until(isKnown, 5s)) << done;
        Learnt learnt;
        learnt.after = base::monotonicNow() - began;
        learnt.writes = calls(fleet, true) - writes;
        learnt.calls = calls(fleet, false) - all;
        std::cout << fleet.nodes.size() << " nodes: " << base::toMilliseconds(learnt.after) << " ms, " << learnt.writes
                  << " writes, " << learnt.calls << " calls" << std::endl;
        return learnt;
    }

    /// A new version fails all its requests; nodes learn it when its rollout is reverted.
    Learnt learnBadVersion(unsigned nodes)
    {
        const auto fleet = startFleet(nodes);
        fleet->store.put("op", "rollout/s", R"({"service":"s","to":"v2","periodS":20})");
        addEngines(*fleet, "v2", 500);
        return learn(*fleet, [&] {
            const auto status = fleet->store.find("status", "rollout/s");
            return status && status->find("reverted") != std::string::npos;
        });
    }
};

TEST_F(EvidenceCallsTest, badVersion_tenTimesTheNodes_costsTheStoreNoMoreThanTwice)
{
    const auto few = learnBadVersion(smallFleet);
    const auto many = learnBadVersion(largeFleet);
    EXPECT_LE(many.writes, 2 * few.writes);
    EXPECT_LE(many.calls, 2 * few.calls);
    EXPECT_LE(many.after, few.after + 1500ms);
}

} // namespace ibisfork::gateway
