#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

class WholePathTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_engine = m_fleet.addEngine({"--tokens", "4"});
        m_fleet.addNode("a");
        m_fleet.apply(0, config("active"));
    }

    std::string config(const std::string &state) const
    {
        return fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                           "versions: [{{model: report, version: v1, state: {}}}]\n"
                           "workspaces: [{{name: w1, keys: [secret], versions: [report@v1]}}]\n"
                           "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [report@v1]}}]\n",
                           state,
                           m_engine);
    }

    Fleet m_fleet;
    std::string m_engine;
};

TEST_F(WholePathTest, chat_permittedVersion_isAnsweredWhole)
{
    const auto answer = chat(m_fleet, 0, "secret");
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto json = nlohmann::json::parse(answer.body);
    EXPECT_EQ(json["choices"][0]["message"]["content"], "w0 w1 w2 w3 ");
    EXPECT_EQ(json["model"], "report@v1");
}

TEST_F(WholePathTest, chat_streamAsked_comesAsEventsToTheLast)
{
    const auto answer = chat(m_fleet, 0, "secret", {{"stream", true}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_THAT(answer.body, testing::HasSubstr("w3 "));
    EXPECT_THAT(answer.body, testing::EndsWith("data: [DONE]\n\n"));
}

TEST_F(WholePathTest, chat_unknownKey_isRefusedAsNotRun)
{
    const auto answer = chat(m_fleet, 0, "wrong");
    EXPECT_EQ(answer.status, 401);
    EXPECT_EQ(nlohmann::json::parse(answer.body)["error"]["run"], "not_run");
}

TEST_F(WholePathTest, chat_versionWithdrawn_isRefusedAsNotRun)
{
    m_fleet.apply(0, config("withdrawn"));
    ASSERT_TRUE(eventually(9s, [&] { return chat(m_fleet, 0, "secret").status == 503; }));
    const auto runs = get(m_engine, "/counts").body;
    EXPECT_EQ(nlohmann::json::parse(chat(m_fleet, 0, "secret").body)["error"]["run"], "not_run");
    EXPECT_EQ(get(m_engine, "/counts").body, runs);
}

TEST_F(WholePathTest, daemon_terminated_endsCleanly)
{
    m_fleet.node(0).signal(SIGTERM);
    EXPECT_EQ(m_fleet.node(0).wait(10s), 0);
}

} // namespace ibisfork::process
