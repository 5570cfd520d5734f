#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

class ShutdownTest : public testing::Test
{
protected:
    /// A new node is ready once the slots that it takes over are settled: confirm_within, 1 s and longest_run.
    static constexpr const char *drainSettings = "timing: {drain_grace: 500ms, drain_within: 20s, confirm_within: 2s, "
                                                 "poll_interval: 300ms, longest_run: 2s}\n";

    void start(std::size_t nodes)
    {
        std::string upstreams;
        for (int i = 0; i < 3; ++i) {
            const auto engine = m_fleet.addEngine({"--tokens", "20", "--between-tokens-ms", "10", "--limit", "200"});
            m_engines.push_back(engine);
            upstreams += fmt::format("- {{id: e{}, address: {}, failure_domain: a, versions: [report@v1],"
                                     " cold: 140, warm: 140}}\n",
                                     i,
                                     engine);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            m_fleet.addNode("a", drainSettings);
        }
        m_fleet.apply(0,
                      "failure_domains: [{name: a, region: r1}]\n"
                      "versions: [{model: report, version: v1}]\n"
                      "workspaces: [{name: w1, keys: [secret], versions: [report@v1]}]\n"
                      "upstreams:\n"
                          + upstreams);
    }

    Fleet m_fleet;
    std::vector<std::string> m_engines;
};

TEST_F(ShutdownTest, terminated_streamRuns_streamEndsWholeAndNewWorkIsRefusedAsNotRun)
{
    start(1);
    auto running = std::async(std::launch::async, [&] {
        return chat(m_fleet, 0, "secret", {{"stream", true}, {"max_tokens", 100}});
    });
    ASSERT_TRUE(eventually(9s, [&] {
        return get(m_engines[0], "/counts").body.find("req-") != std::string::npos
            || get(m_engines[1], "/counts").body.find("req-") != std::string::npos
            || get(m_engines[2], "/counts").body.find("req-") != std::string::npos;
    }));
    m_fleet.node(0).signal(SIGTERM);
    ASSERT_TRUE(eventually(5s, [&] { return !m_fleet.ready(0); }));
    const auto refused = chat(m_fleet, 0, "secret");
    EXPECT_EQ(refused.status, 503);
    EXPECT_THAT(refused.body, testing::HasSubstr("\"draining\""));
    EXPECT_THAT(refused.body, testing::HasSubstr("\"not_run\""));
    EXPECT_THAT(running.get().body, testing::EndsWith("data: [DONE]\n\n"));
    EXPECT_EQ(m_fleet.node(0).wait(20s), 0);
}

TEST_F(ShutdownTest, sevenNodesReplacedOneByOne_underLoad_cutsNoRequest)
{
    constexpr std::size_t nodes = 7;
    constexpr std::size_t callers = 24;
    start(nodes);
    // The balancer's view: nodes that were ready when it last looked.
    std::vector<std::atomic<bool>> ready(2 * nodes);
    std::fill(ready.begin(), ready.begin() + nodes, true);
    std::vector<std::string> addresses(2 * nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        addresses[i] = m_fleet.callers(i);
    }
    std::atomic<bool> stop{false};
    std::atomic<unsigned> whole{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> cut{0};
    std::vector<std::thread> load;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        load.emplace_back([&, caller] {
            for (std::size_t turn = caller; !stop; ++turn) {
                const auto node = turn % ready.size();
                if (!ready[node]) {
                    std::this_thread::sleep_for(1ms);
                    continue;
                }
                net::HttpHeaders headers;
                headers.add("Authorization", "Bearer secret");
                const auto answer = post(addresses[node],
                                         "/v1/chat/completions",
                                         {{"messages", nlohmann::json::array()}, {"stream", true}},
                                         headers);
                if (answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n")) {
                    ++whole;
                } else if (answer.body.find("\"not_run\"") != std::string::npos) {
                    ++refused;
                    std::this_thread::sleep_for(100ms);
                } else {
                    ++cut;
                }
            }
        });
    }
    for (std::size_t old = 0; old < nodes; ++old) {
        m_fleet.node(old).signal(SIGTERM);
        EXPECT_TRUE(eventually(5s, [&] { return !m_fleet.ready(old); }));
        ready[old] = false;
        EXPECT_EQ(m_fleet.node(old).wait(25s), 0);
        const auto added = m_fleet.addNode("a", drainSettings);
        EXPECT_TRUE(eventually(10s, [&] { return m_fleet.ready(added); }));
        addresses[added] = m_fleet.callers(added);
        ready[added] = true;
    }
    stop = true;
    for (auto &thread : load) {
        thread.join();
    }
    EXPECT_EQ(cut, 0U);
    EXPECT_GT(whole, 100U);
    RecordProperty("whole", static_cast<int>(whole));
    RecordProperty("refused", static_cast<int>(refused));
}

} // namespace ibisfork::process
