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

class PolicyCascadeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_cheap = m_fleet.addEngine({"--tokens", "2"});
        m_dear = m_fleet.addEngine({"--tokens", "3"});
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "versions: [{{model: m, version: small, cost: 1, quality: 0.6,"
                                  " reports_confidence: true}}, {{model: m, version: large, cost: 5, quality: 0.95}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], versions: [m@small, m@large]}}]\n"
                                  "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [m@small]}},"
                                  " {{id: e2, address: {}, failure_domain: a, versions: [m@large]}}]\n",
                                  m_cheap,
                                  m_dear));
    }

    static std::size_t runs(const std::string &engine)
    {
        return Json::parse(get(engine, "/counts").body).at("runs").size();
    }

    std::string answeredBy() const
    {
        const auto answer = chat(m_fleet, 0, "secret");
        return answer.status == 200 ? Json::parse(answer.body).at("model").get<std::string>() : answer.body;
    }

    Fleet m_fleet;
    std::string m_cheap;
    std::string m_dear;
};

TEST_F(PolicyCascadeTest, chat_confidentCheapAnswer_isGiven)
{
    post(m_cheap, "/faults", {{"confidence", 0.9}});
    EXPECT_EQ(answeredBy(), "m@small");
    EXPECT_EQ(runs(m_dear), 0U);
}

TEST_F(PolicyCascadeTest, chat_poorCheapAnswer_isReplacedWhole)
{
    post(m_cheap, "/faults", {{"confidence", 0.1}});
    const auto answer = chat(m_fleet, 0, "secret");
    const auto json = Json::parse(answer.body);
    EXPECT_EQ(json.at("model"), "m@large");
    EXPECT_EQ(json["choices"][0]["message"]["content"], "w0 w1 w2 ");
    EXPECT_EQ(runs(m_cheap), 1U);
    EXPECT_EQ(runs(m_dear), 1U);
}

TEST_F(PolicyCascadeTest, chat_betterVersionRefuses_cheapAnswerIsGivenWhole)
{
    post(m_cheap, "/faults", {{"confidence", 0.1}});
    post(m_dear, "/faults", {{"refuse", true}});
    const auto answer = chat(m_fleet, 0, "secret");
    const auto json = Json::parse(answer.body);
    EXPECT_EQ(json.at("model"), "m@small");
    EXPECT_EQ(json["choices"][0]["message"]["content"], "w0 w1 ");
}

TEST_F(PolicyCascadeTest, chat_stream_goesToTheVersionThatMeetsTheTarget)
{
    EXPECT_EQ(chat(m_fleet, 0, "secret", {{"stream", true}}).status, 200);
    EXPECT_EQ(runs(m_cheap), 0U);
    EXPECT_EQ(runs(m_dear), 1U);
}

class PolicyRolloutTest : public testing::Test
{
protected:
    static constexpr unsigned cap = 20;

    void SetUp() override
    {
        m_sound = m_fleet.addEngine({"--tokens", "2"});
        m_fresh = m_fleet.addEngine({"--tokens", "2"});
        m_fleet.addNode("a");
        m_fleet.addNode("a");
        m_fleet.apply(0, config("active"));
        ASSERT_TRUE(eventually(9s, [&] { return m_fleet.ready(1); }));
    }

    std::string config(const std::string &state) const
    {
        return fmt::format(
            "failure_domains: [{{name: a, region: r1}}]\n"
            "versions: [{{model: m, version: v1, cost: 2}}, {{model: m, version: v2, state: {},"
            " steps: [{{share: 1, cap: {}}}, {{share: 1}}]}}]\n"
            "workspaces: [{{name: w1, keys: [secret], versions: [m@v1, m@v2]}}]\n"
            "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [m@v1], cold: 32, warm: 64}},"
            " {{id: e2, address: {}, failure_domain: a, versions: [m@v2], cold: 32, warm: 64}}]\n",
            state,
            cap,
            m_sound,
            m_fresh);
    }

    std::size_t exposed() const { return Json::parse(get(m_fresh, "/counts").body).at("runs").size(); }

    std::string rolloutState() const
    {
        const auto rows = Json::parse(get(m_fleet.operators(1), "/v1/rows").body).at("rows");
        const auto row = rows.find("config/rollout/m@v2");
        return row == rows.end() ? "none" : Json::parse(row->get<std::string>()).at("state").get<std::string>();
    }

    /// One request at each node; rates what the fresh version answered.
    void serveAndRate(double score)
    {
        for (const std::size_t node : {0, 1}) {
            const auto answer = chat(m_fleet, node, "secret");
            if (answer.status == 200 && Json::parse(answer.body).at("model") == "m@v2") {
                post(m_fleet.platform(), "/v1/ratings", {{"version", "m@v2"}, {"judge", "j"}, {"score", score}});
            }
        }
    }

    Fleet m_fleet;
    std::string m_sound;
    std::string m_fresh;
};

TEST_F(PolicyRolloutTest, rollout_noRatings_exposesNoMoreThanTheCapOverAllNodes)
{
    m_fleet.apply(0, config("rolling-out"));
    ASSERT_TRUE(eventually(9s, [&] { return chat(m_fleet, 1, "secret").status == 200 && exposed() > 0; }));
    for (unsigned request = 0; request < 2 * cap; ++request) {
        EXPECT_EQ(chat(m_fleet, 0, "secret").status, 200);
        EXPECT_EQ(chat(m_fleet, 1, "secret").status, 200);
    }
    EXPECT_EQ(exposed(), cap);
    EXPECT_EQ(rolloutState(), "running");
}

TEST_F(PolicyRolloutTest, rollout_answersRatedBad_isHaltedThroughTheTableAtEveryNode)
{
    m_fleet.apply(0, config("rolling-out"));
    ASSERT_TRUE(eventually(20s, [&] {
        serveAndRate(0.0);
        return rolloutState() == "halted";
    }));
    EXPECT_LE(exposed(), cap);
    const auto before = exposed();
    serveAndRate(0.0);
    EXPECT_EQ(exposed(), before);
}

} // namespace ibisfork::process
