#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;
using Json = nlohmann::json;

class PolicyOverloadTest : public testing::Test
{
protected:
    /// What became of the requests of one workspace.
    struct Tally
    {
        std::atomic<int> answered{0};
        std::atomic<int> refused{0};
        /// Begun, but past its deadline before its end.
        std::atomic<int> overran{0};
        /// Refusals as not run that don't say when to come back, and anything else.
        std::atomic<int> wrong{0};
    };

    static constexpr auto spacing = 50ms;

    void SetUp() override
    {
        // Four at once of about 100 ms each make some 40 a second.
        m_engine = m_fleet.addEngine(
            {"--tokens", "4", "--limit", "8", "--first-token-ms", "40", "--between-tokens-ms", "10"});
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "versions: [{{model: m, version: v1}}]\n"
                                  "workspaces: [{{name: large, keys: [large], versions: [m@v1]}},"
                                  " {{name: small, keys: [small], versions: [m@v1]}}]\n"
                                  "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [m@v1],"
                                  " cold: 4, warm: 4}}]\n",
                                  m_engine));
        ASSERT_TRUE(eventually(9s, [&] { return chat(m_fleet, 0, "small").status == 200; }));
    }

    void ask(const std::string &key, Tally &tally) const
    {
        net::HttpHeaders headers;
        headers.add("Authorization", "Bearer " + key);
        headers.add("X-Deadline-Ms", "1000");
        const Json message{{"role", "user"}, {"content", "hello"}};
        const auto answer = post(m_fleet.callers(0),
                                 "/v1/chat/completions",
                                 {{"model", "m"}, {"messages", Json::array({message})}},
                                 headers);
        if (answer.status == 200) {
            ++tally.answered;
            return;
        }
        const auto run = Json::parse(answer.body)["error"]["run"];
        if (run == "not_run" && answer.headers.find("Retry-After")) {
            ++tally.refused;
        } else if (run == "unknown") {
            ++tally.overran;
        } else {
            ++tally.wrong;
        }
    }

    Fleet m_fleet;
    std::string m_engine;
};

TEST_F(PolicyOverloadTest, overload_twiceTheCapacity_refusalsAreNotRunAndTheSmallWorkspaceIsServed)
{
    const auto runsBefore = Json::parse(get(m_engine, "/counts").body).at("runs").size();
    Tally large;
    Tally small;
    std::vector<std::jthread> callers;
    // Three of the large workspace for each of the small one, every 50 ms.
    for (int turn = 0; turn < 60; ++turn) {
        for (int request = 0; request < 3; ++request) {
            callers.emplace_back([&] { ask("large", large); });
        }
        callers.emplace_back([&] { ask("small", small); });
        std::this_thread::sleep_for(spacing);
    }
    callers.clear();
    EXPECT_EQ(large.wrong + small.wrong, 0);
    EXPECT_GT(large.refused, 0);
    const auto counts = Json::parse(get(m_engine, "/counts").body);
    EXPECT_EQ(counts.at("runs").size() - runsBefore,
              static_cast<std::size_t>(large.answered + small.answered + large.overran + small.overran));
    EXPECT_LE(counts.at("most_running").get<int>(), 4);
    // The small one asks for less than its half.
    const auto servedOf = [](const Tally &tally) {
        return static_cast<double>(tally.answered) / (tally.answered + tally.refused + tally.overran);
    };
    EXPECT_GT(servedOf(small), servedOf(large));
    fmt::print("served: large {:.2f}, small {:.2f}; overran: {}\n",
               servedOf(large),
               servedOf(small),
               large.overran + small.overran);
}

} // namespace ibisfork::process
