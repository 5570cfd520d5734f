#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

/// Two nodes and four engines that crash on one body and stay down.
class PoisonTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string upstreams;
        for (int i = 0; i < engines; ++i) {
            m_engines.push_back(m_fleet.addEngine({"--tokens", "4"}));
            upstreams += fmt::format(
                "- {{id: e{}, address: {}, failure_domain: a, versions: [report@v1], cold: 8, warm: 8}}\n",
                i,
                m_engines.back());
        }
        m_fleet.addNode("a");
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      "failure_domains: [{name: a, region: r1}]\n"
                      "versions: [{model: report, version: v1}]\n"
                      "workspaces: [{name: w1, keys: [secret], versions: [report@v1]}]\n"
                      "upstreams:\n"
                          + upstreams);
    }

    Answer sendPoison(std::size_t node) const { return chat(m_fleet, node, "secret", {{"user", "crash-the-engine"}}); }

    int crashed() const
    {
        int count = 0;
        for (const auto &engine : m_engines) {
            count += get(engine, "/v1/load").status == 200 ? 0 : 1;
        }
        return count;
    }

    static constexpr int engines = 4;
    Fleet m_fleet;
    std::vector<std::string> m_engines;
};

TEST_F(PoisonTest, requestCrashesEngines_sentAgainThroughEachNode_crashesAtMostThreeAndIsRefusedTruly)
{
    const auto first = sendPoison(0);
    EXPECT_EQ(first.status, 502) << first.body;
    EXPECT_THAT(first.body, testing::HasSubstr("\"unknown\""));
    EXPECT_EQ(crashed(), 2);
    ASSERT_TRUE(eventually(
        9s, [&] { return get(m_fleet.operators(1), "/v1/poison").body.find("\"id\"") != std::string::npos; }));
    for (const std::size_t node : {0, 1, 0, 1}) {
        const auto again = sendPoison(node);
        EXPECT_EQ(again.status, 422) << again.body;
        EXPECT_THAT(again.body, testing::HasSubstr("\"poison\""));
        EXPECT_THAT(again.body, testing::HasSubstr("\"not_run\""));
    }
    EXPECT_LE(crashed(), 3);
    EXPECT_TRUE(eventually(9s, [&] { return chat(m_fleet, 1, "secret").status == 200; }));
}

TEST_F(PoisonTest, condemned_liftedByOperator_isNoLongerListed)
{
    sendPoison(0);
    std::string id;
    ASSERT_TRUE(eventually(9s, [&] {
        const auto list = nlohmann::json::parse(get(m_fleet.operators(1), "/v1/poison").body)["poison"];
        id = list.empty() ? "" : list[0]["id"].get<std::string>();
        return !id.empty();
    }));
    net::HttpRequest lift;
    lift.method = net::HttpMethod::Delete;
    lift.path = "/v1/poison/" + id;
    EXPECT_EQ(call(m_fleet.operators(0), lift).status, 200);
    EXPECT_TRUE(eventually(9s, [&] { return get(m_fleet.operators(1), "/v1/poison").body == R"({"poison":[]})"; }));
}

} // namespace ibisfork::process
