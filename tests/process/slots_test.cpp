#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

namespace {

constexpr unsigned cold = 2;
constexpr unsigned warm = 6;

} // namespace

/// Three nodes before two engines that fall over past what they bear.
class SlotsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        for (unsigned i = 0; i < 3; ++i) {
            m_fleet.addNode("a");
        }
        for (unsigned i = 0; i < 2; ++i) {
            m_addresses.emplace_back("127.0.0.1:0");
            m_engines.push_back(startEngine(i));
        }
        m_fleet.apply(0, config());
    }

    /// Starts the engine anew at the address that it had, the first time at a free one.
    std::unique_ptr<Program> startEngine(unsigned index)
    {
        auto engine = std::make_unique<Program>("standin-engine",
                                                std::vector<std::string>{"--listen",
                                                                         m_addresses.at(index),
                                                                         "--tokens",
                                                                         "8",
                                                                         "--limit",
                                                                         std::to_string(warm),
                                                                         "--cold",
                                                                         std::to_string(cold),
                                                                         "--ramp-ms",
                                                                         "2000"});
        m_addresses.at(index) = engine->listening();
        return engine;
    }

    std::string config() const
    {
        std::string text = "failure_domains: [{name: a, region: r1}]\n"
                           "versions: [{model: report, version: v1}]\n"
                           "workspaces: [{name: w1, keys: [secret], versions: [report@v1]}]\n"
                           "upstreams:\n";
        for (std::size_t i = 0; i < m_addresses.size(); ++i) {
            text += fmt::format("  - {{id: e{}, address: {}, failure_domain: a, versions: [report@v1], "
                                "cold: {}, warm: {}, ramp: 2s}}\n",
                                i,
                                m_addresses[i],
                                cold,
                                warm);
        }
        return text;
    }

    /// Sends chats to all nodes from @p callers threads for @p time; counts those answered.
    unsigned load(unsigned callers, base::Duration time)
    {
        const auto until = base::monotonicNow() + time;
        std::atomic<unsigned> answered = 0;
        std::vector<std::jthread> threads;
        for (unsigned caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                for (unsigned i = caller; base::monotonicNow() < until; ++i) {
                    answered += chat(m_fleet, i % 3, "secret").status == 200 ? 1 : 0;
                }
            });
        }
        threads.clear();
        return answered;
    }

    unsigned mostRunning(unsigned engine) const
    {
        const auto counts = nlohmann::json::parse(get(m_addresses.at(engine), "/counts").body);
        return counts.at("most_running").get<unsigned>();
    }

    void expectNoneFellOver()
    {
        for (auto &engine : m_engines) {
            EXPECT_EQ(engine->wait(0s), -1);
        }
    }

    Fleet m_fleet;
    std::vector<std::string> m_addresses;
    std::vector<std::unique_ptr<Program>> m_engines;
};

TEST_F(SlotsTest, load_pastTheLimit_noEngineFallsOverColdOrWarm)
{
    EXPECT_GT(load(24, 4s), 0U);
    expectNoneFellOver();
    EXPECT_LE(mostRunning(0), warm);
    EXPECT_LE(mostRunning(1), warm);
    // They have been warm for a while, and the callers ask for all there is.
    EXPECT_GT(mostRunning(0) + mostRunning(1), 2 * cold);
}

TEST_F(SlotsTest, load_engineRestartedWithoutWarning_startsColdAndDoesNotFallOver)
{
    std::jthread loader([this] { load(24, 7s); });
    std::this_thread::sleep_for(3s);
    m_engines[0]->signal(SIGKILL);
    m_engines[0]->wait(5s);
    m_engines[0] = startEngine(0);
    loader.join();
    expectNoneFellOver();
    EXPECT_GT(mostRunning(0), 0U);
}

TEST_F(SlotsTest, load_nodeKilledAndReplaced_limitHolds)
{
    std::jthread loader([this] { load(24, 12s); });
    std::this_thread::sleep_for(3s);
    m_fleet.stopNode(2);
    m_fleet.addNode("a");
    loader.join();
    expectNoneFellOver();
    // The process is new, so it waits out whoever may have held its slots.
    EXPECT_TRUE(eventually(9s, [this] { return m_fleet.ready(3); }));
    EXPECT_TRUE(eventually(9s, [this] { return chat(m_fleet, 3, "secret").status == 200; }));
    EXPECT_LE(mostRunning(0), warm);
    EXPECT_LE(mostRunning(1), warm);
}

} // namespace ibisfork::process
