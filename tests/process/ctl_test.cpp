#include <gtest/gtest.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

class CtlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      "failure_domains: [{name: a, region: r1}]\n"
                      "versions: [{model: report, version: v1}]\n"
                      "workspaces: [{name: w1, keys: [secret], versions: [report@v1]}]\n"
                      "upstreams: [{id: e1, address: 127.0.0.1:1, failure_domain: a, versions: [report@v1]}]\n");
    }

    nlohmann::json row(const std::string &key) const
    {
        const auto rows = nlohmann::json::parse(get(m_fleet.operators(0), "/v1/rows").body).at("rows");
        return rows.contains(key) ? nlohmann::json::parse(rows.at(key).get<std::string>()) : nlohmann::json();
    }

    Fleet m_fleet;
};

TEST_F(CtlTest, domain_takenOutAndBroughtBack_changesItsState)
{
    EXPECT_EQ(m_fleet.ctl(0, {"domain", "take-out", "a"}), exitOk);
    EXPECT_TRUE(eventually(9s, [&] { return row("config/failure-domain/a")["state"] == "taken-out"; }));
    EXPECT_EQ(m_fleet.ctl(0, {"domain", "bring-back", "a"}), exitOk);
    EXPECT_TRUE(eventually(9s, [&] { return row("config/failure-domain/a")["state"] == "in"; }));
}

TEST_F(CtlTest, versionWithdraw_withoutReason_isRefusedAndChangesNothing)
{
    EXPECT_EQ(m_fleet.ctl(0, {"version", "withdraw", "report@v1"}), exitUsage);
    EXPECT_EQ(row("config/version/report@v1")["state"], "active");
}

TEST_F(CtlTest, exceptionAdd_withReason_isStoredWithIt)
{
    EXPECT_EQ(m_fleet.ctl(0,
                          {"exception",
                           "add",
                           "finals",
                           "--workspace",
                           "w1",
                           "--field",
                           "quality_target",
                           "--value",
                           "0.98",
                           "--reason",
                           "state finals"}),
              exitOk);
    EXPECT_TRUE(eventually(9s, [&] { return row("config/exception/finals")["reason"] == "state finals"; }));
}

TEST_F(CtlTest, change_sameIdAgain_takesEffectOnce)
{
    const std::vector<std::string> drain{"upstream", "drain", "e1", "--change-id", "once"};
    EXPECT_EQ(m_fleet.ctl(0, drain), exitOk);
    ASSERT_TRUE(eventually(9s, [&] { return row("config/upstream/e1")["state"] == "draining"; }));
    EXPECT_EQ(m_fleet.ctl(0, {"upstream", "undrain", "e1"}), exitOk);
    ASSERT_TRUE(eventually(9s, [&] { return row("config/upstream/e1")["state"] == "live"; }));
    EXPECT_EQ(m_fleet.ctl(0, drain), exitOk);
    EXPECT_EQ(row("config/upstream/e1")["state"], "live");
}

TEST_F(CtlTest, rollout_startedAndHalted_keepsItsEvidence)
{
    EXPECT_EQ(m_fleet.ctl(0, {"rollout", "step", "report@v1"}), exitUsage);
    EXPECT_EQ(m_fleet.ctl(0, {"rollout", "start", "report@v1"}), exitOk);
    ASSERT_TRUE(eventually(9s, [&] { return row("config/rollout/report@v1")["state"] == "running"; }));
    EXPECT_EQ(m_fleet.ctl(0, {"rollout", "halt", "report@v1"}), exitUsage);
    EXPECT_EQ(m_fleet.ctl(0, {"rollout", "halt", "report@v1", "--reason", "judges complain"}), exitOk);
    ASSERT_TRUE(eventually(9s, [&] { return row("config/rollout/report@v1")["state"] == "halted"; }));
    EXPECT_EQ(row("config/rollout/report@v1")["evidence"], "judges complain");
    EXPECT_EQ(m_fleet.ctl(0, {"rollout", "step", "report@v1"}), exitUsage);
}

TEST_F(CtlTest, billsVerify_withoutPlatform_exitsWithUsage)
{
    EXPECT_EQ(m_fleet.ctl(0, {"bills", "verify"}), exitUsage);
}

TEST_F(CtlTest, change_sameIdAgainWithRowsNoLongerGood_isAcceptedStill)
{
    const auto changeOf = [&](const std::string &key, const nlohmann::json &value) {
        return nlohmann::json{{"id", "once"}, {"rows", {{{"key", key}, {"value", value}}}}};
    };
    const auto good = changeOf("config/upstream/e1", nullptr);
    EXPECT_EQ(post(m_fleet.operators(0), "/v1/changes", good).status, 200);
    ASSERT_TRUE(eventually(9s, [&] { return row("config/upstream/e1").is_null(); }));
    const auto bad = changeOf("config/upstream/e1", "not an upstream");
    const auto again = post(m_fleet.operators(0), "/v1/changes", bad);
    EXPECT_EQ(again.status, 200) << again.body;
    auto fresh = bad;
    fresh["id"] = "never";
    EXPECT_EQ(post(m_fleet.operators(0), "/v1/changes", fresh).status, 400);
}

TEST_F(CtlTest, command_unknown_exitsWithUsage)
{
    EXPECT_EQ(m_fleet.ctl(0, {"domain", "destroy", "a"}), exitUsage);
    EXPECT_EQ(m_fleet.ctl(0, {"upstream", "drain", "nowhere"}), exitUsage);
}

TEST_F(CtlTest, node_thatDoesNotAnswer_exitsWithFailure)
{
    m_fleet.stopNode(0);
    EXPECT_EQ(m_fleet.ctl(0, {"status"}), exitFailure);
}

} // namespace ibisfork::process
