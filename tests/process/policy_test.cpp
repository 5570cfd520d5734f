#include <gtest/gtest.h>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;
using Json = nlohmann::json;

class PolicyConfigTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_engine = m_fleet.addEngine({"--tokens", "2"});
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "versions: [{{model: report, version: v1}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], versions: [report@v1]}}]\n"
                                  "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [report@v1]}}]\n",
                                  m_engine));
    }

    Answer change(const std::string &id, const std::string &key, const std::string &value) const
    {
        const Json rows = Json::array({{{"key", key}, {"value", value}}});
        return post(m_fleet.operators(0), "/v1/changes", {{"id", id}, {"rows", rows}});
    }

    Fleet m_fleet;
    std::string m_engine;
};

TEST_F(PolicyConfigTest, change_badRows_areRefusedAndServiceGoesOn)
{
    EXPECT_EQ(change("c1", "config/version/report@v1", "{").status, 400);
    EXPECT_EQ(change("c2", "config/workspace/w2", R"({"versions":["report@v9"]})").status, 400);
    EXPECT_EQ(
        change("c3", "config/exception/x", R"({"workspace":"w9","field":"priority","value":"2","reason":"r"})").status,
        400);
    EXPECT_EQ(change("c4", "config/workspace/w2", R"({"versions":["report@v1"]})").status, 200);
    EXPECT_TRUE(eventually(9s, [&] { return chat(m_fleet, 0, "secret").status == 200; }));
}

} // namespace ibisfork::process
