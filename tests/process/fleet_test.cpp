#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/// The promise: a change is in force everywhere within this time.
constexpr auto inForceWithin = 9s;
/// A confirmation has lapsed after this, with the interval of the questions.
constexpr auto confirmationLapses = 8s;
/// Keys of a fleet that exists in these tests only.
constexpr const char *keys = "peers: {public_key: '8>TUr@{]tfDKSv3jYDj9[&X<Uh/nRp:h^g[4(SDT', "
                             "secret_key: 'm&#ktr+6SH[v(&]w7rUGqIP-mpuLYwPGQXA(y1Xi', "
                             "fleet_key: '8>TUr@{]tfDKSv3jYDj9[&X<Uh/nRp:h^g[4(SDT'}\n";

} // namespace

class FleetProcessTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_engine = m_fleet.addEngine({"--tokens", "2"});
        for (const auto *domain : {"a", "b", "c"}) {
            m_fleet.addNode(domain, keys);
        }
        m_fleet.apply(0, config("active"));
    }

    std::string config(const std::string &state) const
    {
        return fmt::format(
            "failure_domains: [{{name: a, region: r1}}, {{name: b, region: r1}}, {{name: c, region: r1}}]\n"
            "versions: [{{model: report, version: v1, state: {}}}]\n"
            "workspaces: [{{name: w1, keys: [secret], versions: [report@v1]}}]\n"
            "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [report@v1], cold: 64, warm: 64}}]\n",
            state,
            m_engine);
    }

    /// Row changes that withdraw the one version.
    static Json withdrawal() { return {{{"key", "config/version/report@v1"}, {"value", R"({"state":"withdrawn"})"}}}; }

    static Json domainRow(const std::string &name)
    {
        return {{{"key", "config/failure-domain/" + name}, {"value", R"({"region":"r1"})"}}};
    }

    Json submit(std::size_t node, const std::string &id, const Json &rows, std::optional<std::uint64_t> base = {})
    {
        Json change{{"id", id}, {"author", "test"}, {"reason", "test"}, {"rows", rows}};
        if (base) {
            change["base_revision"] = *base;
        }
        return Json::parse(post(m_fleet.operators(node), "/v1/changes", change).body);
    }

    std::string stateOf(std::size_t node, const std::string &id)
    {
        const auto answer = get(m_fleet.operators(node), "/v1/changes/" + id);
        return answer.status == 200 ? Json::parse(answer.body).at("state").get<std::string>() : "no answer";
    }

    bool accepted(std::size_t node, const std::string &id, base::Duration within = inForceWithin)
    {
        return eventually(within, [&] { return stateOf(node, id) == "accepted"; });
    }

    Json rows(std::size_t node) { return Json::parse(get(m_fleet.operators(node), "/v1/rows").body); }

    Json runs() { return Json::parse(get(m_engine, "/counts").body).at("runs"); }

    int memberCount(std::size_t node)
    {
        int members = 0;
        const auto held = rows(node);
        for (const auto &[key, value] : held.at("rows").items()) {
            members += key.starts_with("member/") ? 1 : 0;
        }
        return members;
    }

    void setFaults(const Json &faults) { post(m_fleet.platform(), "/faults", faults); }

    int chatStatus(std::size_t node) { return chat(m_fleet, node, "secret").status; }

    /// Whether the node refuses because it can't confirm its revision.
    bool unconfirmed(std::size_t node)
    {
        const auto answer = chat(m_fleet, node, "secret");
        return answer.status == 503 && Json::parse(answer.body).at("error").at("code") == "unconfirmed";
    }

    Fleet m_fleet;
    std::string m_engine;
};

TEST_F(FleetProcessTest, change_allNodesUp_isAcceptedAndInForceEverywhere)
{
    submit(1, "withdraw", withdrawal());
    ASSERT_TRUE(accepted(1, "withdraw"));
    const auto before = runs();
    for (const std::size_t node : {0U, 1U, 2U}) {
        EXPECT_EQ(chatStatus(node), 503);
    }
    EXPECT_EQ(runs(), before);
}

TEST_F(FleetProcessTest, change_nodePausedMeanwhile_isAcceptedAndNeverBrokenByIt)
{
    m_fleet.node(2).signal(SIGSTOP);
    const auto start = base::monotonicNow();
    submit(0, "withdraw", withdrawal());
    ASSERT_TRUE(accepted(0, "withdraw", inForceWithin + 1s));
    EXPECT_LE(base::monotonicNow() - start, inForceWithin);
    const auto before = runs();
    // Requests wait at the paused node, to be taken at the first instant of its return.
    std::thread waiting([this] { chatStatus(2); });
    std::this_thread::sleep_for(200ms);
    m_fleet.node(2).signal(SIGCONT);
    waiting.join();
    EXPECT_TRUE(eventually(inForceWithin, [&] { return m_fleet.ready(2); }));
    EXPECT_EQ(chatStatus(2), 503);
    EXPECT_EQ(runs(), before);
}

TEST_F(FleetProcessTest, tableDown_beyondConfirmation_servesOnAndAcceptsNoChange)
{
    setFaults({{"down", true}});
    const auto until = base::monotonicNow() + confirmationLapses + 4s;
    while (base::monotonicNow() < until) {
        for (const std::size_t node : {0U, 1U, 2U}) {
            ASSERT_EQ(chatStatus(node), 200) << node;
        }
        std::this_thread::sleep_for(200ms);
    }
    EXPECT_EQ(submit(0, "withdraw", withdrawal()).at("state"), "refused");
    EXPECT_EQ(stateOf(1, "withdraw"), "unknown");
    EXPECT_EQ(chatStatus(0), 200);
    setFaults(Json::object());
    EXPECT_EQ(submit(0, "withdraw-2", withdrawal()).at("state"), "pending");
    EXPECT_TRUE(accepted(2, "withdraw-2"));
}

TEST_F(FleetProcessTest, tableDown_minorityLeftAlone_stopsServing)
{
    setFaults({{"down", true}});
    m_fleet.node(1).signal(SIGSTOP);
    m_fleet.node(2).signal(SIGSTOP);
    EXPECT_TRUE(eventually(confirmationLapses, [&] { return unconfirmed(0); }));
    const auto before = runs();
    EXPECT_TRUE(unconfirmed(0));
    EXPECT_EQ(runs(), before);
    m_fleet.node(1).signal(SIGCONT);
    EXPECT_TRUE(eventually(inForceWithin, [&] { return chatStatus(0) == 200; }));
    m_fleet.node(2).signal(SIGCONT);
}

TEST_F(FleetProcessTest, change_commitAnswersLost_takesEffectOnce)
{
    setFaults({{"lose_commit_answers", true}});
    const auto first = submit(0, "once", domainRow("d"));
    const auto second = submit(1, "once", domainRow("d"));
    setFaults(Json::object());
    const auto third = submit(2, "once", domainRow("d"));
    EXPECT_NE(first.at("revision"), 0);
    EXPECT_EQ(first.at("revision"), second.at("revision"));
    EXPECT_EQ(first.at("revision"), third.at("revision"));
    EXPECT_TRUE(accepted(0, "once"));
    const auto history = Json::parse(get(m_fleet.operators(0), "/v1/changes?after=0").body);
    int count = 0;
    for (const auto &change : history.at("changes")) {
        count += change.at("id") == "once" ? 1 : 0;
    }
    EXPECT_EQ(count, 1);
}

TEST_F(FleetProcessTest, change_twoOperatorsOnOneRow_oneIsRefusedAndNamesTheRow)
{
    const auto base = rows(0).at("revision").get<std::uint64_t>();
    Json left;
    Json right;
    std::thread racing([&] { left = submit(0, "left", domainRow("d"), base); });
    right = submit(1, "right", domainRow("d"), base);
    racing.join();
    const std::set<std::string> states{left.at("state"), right.at("state")};
    EXPECT_THAT(states, testing::Contains("refused"));
    const auto &refused = left.at("state") == "refused" ? left : right;
    const auto &taken = left.at("state") == "refused" ? right : left;
    EXPECT_THAT(refused.at("message").get<std::string>(), testing::HasSubstr("config/failure-domain/d"));
    EXPECT_TRUE(accepted(2, taken.at("id")));
    EXPECT_EQ(stateOf(left.at("state") == "refused" ? 0 : 1, refused.at("id")), "refused");
}

TEST_F(FleetProcessTest, change_twoOperatorsOnUnlikeRows_bothAreAccepted)
{
    const auto base = rows(0).at("revision").get<std::uint64_t>();
    std::thread racing([&] { submit(0, "left", domainRow("d"), base); });
    submit(1, "right", domainRow("e"), base);
    racing.join();
    EXPECT_TRUE(accepted(2, "left"));
    EXPECT_TRUE(accepted(2, "right"));
}

TEST_F(FleetProcessTest, nodes_replacedOneAfterAnother_keepServingAndAccepting)
{
    for (std::size_t old = 0; old < 3; ++old) {
        const auto born = m_fleet.addNode(std::string(1, static_cast<char>('a' + old)), keys);
        ASSERT_TRUE(eventually(inForceWithin, [&] { return m_fleet.ready(born); }));
        m_fleet.node(old).signal(SIGTERM);
        ASSERT_EQ(m_fleet.node(old).wait(10s), 0);
        const auto id = fmt::format("change-{}", old);
        submit(born, id, domainRow(fmt::format("d{}", old)));
        EXPECT_TRUE(accepted(born, id));
        EXPECT_TRUE(eventually(inForceWithin, [&] { return chatStatus(born) == 200; }));
    }
    EXPECT_EQ(memberCount(3), 3);
}

TEST_F(FleetProcessTest, engine_crashesUnderOneNode_isToldToTheOthers)
{
    const auto heard = [&](std::size_t node) {
        return get(m_fleet.operators(node), "/metrics").body.find("ibisfork_notices_heard_total 0\n")
            == std::string::npos;
    };
    EXPECT_FALSE(heard(1));
    EXPECT_FALSE(heard(2));
    m_fleet.engine(0).signal(SIGKILL);
    chat(m_fleet, 0, "secret");
    EXPECT_TRUE(eventually(inForceWithin, [&] { return heard(1) && heard(2); }));
}

TEST_F(FleetProcessTest, nodes_allKilledAndBornAnew_acceptAndServeOnceTheVmListSaysSo)
{
    Json vms = Json::array();
    const auto held = rows(0);
    for (const auto &[key, value] : held.at("rows").items()) {
        if (key.starts_with("member/")) {
            const auto member = Json::parse(value.get<std::string>());
            vms.push_back({{"node", key.substr(7)}, {"incarnation", member.at("incarnation")}, {"state", "gone"}});
        }
    }
    for (std::size_t node = 0; node < 3; ++node) {
        m_fleet.stopNode(node);
    }
    const auto born = m_fleet.addNode("a", keys);
    ASSERT_TRUE(eventually(inForceWithin, [&] { return memberCount(born) == 4; }));
    submit(born, "change", domainRow("d"));
    // Two of the three old members could still confirm each other and use the slots, for all that is known.
    std::this_thread::sleep_for(confirmationLapses);
    EXPECT_EQ(stateOf(born, "change"), "pending");
    net::HttpHeaders headers;
    headers.add("Authorization", "Bearer secret");
    headers.add("X-Deadline-Ms", "1000");
    const Json body{{"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    const auto refused = post(m_fleet.callers(born), "/v1/chat/completions", body, headers);
    EXPECT_NE(refused.status, 200);
    EXPECT_THAT(refused.body, testing::HasSubstr("not_run"));
    net::HttpRequest request;
    request.method = net::HttpMethod::Put;
    request.path = "/v1/vms";
    request.body = Json{{"vms", vms}}.dump();
    ASSERT_EQ(call(m_fleet.platform(), request).status, 200);
    EXPECT_TRUE(accepted(born, "change", 15s));
    EXPECT_TRUE(eventually(15s, [&] { return memberCount(born) == 1; }));
    EXPECT_TRUE(eventually(inForceWithin, [&] { return chatStatus(born) == 200; }));
}

TEST_F(FleetProcessTest, node_killedAndHeardByNobody_isRemoved)
{
    m_fleet.stopNode(2);
    EXPECT_TRUE(eventually(60s, [&] { return memberCount(0) == 2; }));
    submit(0, "change", domainRow("d"));
    EXPECT_TRUE(accepted(0, "change"));
}

} // namespace ibisfork::process
