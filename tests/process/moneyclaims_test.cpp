#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <random>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Three nodes before one service that counts the effects of each key.
class MoneyClaimsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_service = m_fleet.addService();
        for (const auto *domain : {"a", "b", "c"}) {
            m_fleet.addNode(domain);
        }
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], services: [booking]}}]\n"
                                  "upstreams:\n"
                                  "  - {{id: s1, kind: service, service: booking, address: {}, failure_domain: a,"
                                  " cold: 300, warm: 300}}\n",
                                  m_service));
        for (const std::size_t node : {0U, 1U, 2U}) {
            ASSERT_TRUE(eventually(9s, [&] { return ask(node, "", "", net::HttpMethod::Get).status == 200; }));
        }
    }

    Answer ask(std::size_t node,
               const std::string &key,
               const std::string &body = "sofa",
               net::HttpMethod method = net::HttpMethod::Post) const
    {
        net::HttpRequest request;
        request.method = method;
        request.path = "/v1/services/booking/visits";
        request.body = body;
        request.headers.add("Authorization", "Bearer secret");
        if (!key.empty()) {
            request.headers.add("Idempotency-Key", key);
        }
        return call(m_fleet.callers(node), request);
    }

    std::map<std::string, unsigned> effects() const
    {
        return Json::parse(get(m_service, "/counts").body).get<std::map<std::string, unsigned>>();
    }

    unsigned effectsOf(const std::string &key) const
    {
        const auto all = effects();
        const auto found = all.find(key);
        return found == all.end() ? 0 : found->second;
    }

    static std::string runOf(const Answer &answer) { return Json::parse(answer.body)["error"]["run"]; }
    static std::string codeOf(const Answer &answer) { return Json::parse(answer.body)["error"]["code"]; }

    Fleet m_fleet;
    std::string m_service;
};

TEST_F(MoneyClaimsTest, post_askedAgainAtAnotherNode_isAnsweredFromTheRecord)
{
    const auto first = ask(0, "k1");
    ASSERT_EQ(first.status, 200) << first.body;
    Answer again;
    // The outcome is recorded beside the answer; until then the second asker is told that it runs.
    ASSERT_TRUE(eventually(9s, [&] {
        again = ask(1, "k1");
        return again.status == 200;
    }));
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(again.headers.find("Idempotent-Replayed"), "true");
    EXPECT_EQ(effectsOf("k1"), 1U);
}

TEST_F(MoneyClaimsTest, post_otherBodyUnderTheSameKey_isRefusedAsNotRun)
{
    ASSERT_EQ(ask(0, "k1").status, 200);
    const auto other = ask(1, "k1", "carpet");
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(codeOf(other), "idempotency_key_reused");
    EXPECT_EQ(runOf(other), "not_run");
    EXPECT_EQ(effectsOf("k1"), 1U);
}

TEST_F(MoneyClaimsTest, post_badKey_isRefused)
{
    const auto answer = ask(0, std::string(300, 'k'));
    EXPECT_EQ(answer.status, 400);
    EXPECT_EQ(runOf(answer), "not_run");
}

TEST_F(MoneyClaimsTest, post_sameKeysThroughTwoNodesAtOnce_runOnceEach)
{
    constexpr int keys = 300;
    std::vector<std::thread> threads;
    for (const std::size_t node : {0U, 1U, 2U}) {
        threads.emplace_back([this, node] {
            for (int key = 0; key < keys; ++key) {
                ask(node, fmt::format("k{}", key));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto counts = effects();
    EXPECT_EQ(counts.size(), static_cast<std::size_t>(keys));
    for (const auto &[key, count] : counts) {
        EXPECT_EQ(count, 1U) << key;
    }
}

TEST_F(MoneyClaimsTest, post_tableDown_isRefusedAsNotRunAndMayBeAskedAgain)
{
    post(m_fleet.platform(), "/faults", {{"down", true}});
    const auto answer = ask(0, "k1");
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(codeOf(answer), "claims_unavailable");
    EXPECT_EQ(runOf(answer), "not_run");
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_EQ(ask(0, "", "", net::HttpMethod::Get).status, 200);
    EXPECT_EQ(effectsOf("k1"), 0U);
    post(m_fleet.platform(), "/faults", Json::object());
    EXPECT_TRUE(eventually(9s, [this] { return ask(1, "k1").status == 200; }));
    EXPECT_EQ(effectsOf("k1"), 1U);
}

TEST_F(MoneyClaimsTest, post_answerOfTheServiceLost_isUnknownToWhoeverAsks)
{
    post(m_service, "/faults", {{"lose_answers", true}});
    const auto first = ask(0, "k1");
    EXPECT_EQ(runOf(first), "unknown");
    post(m_service, "/faults", Json::object());
    for (const std::size_t node : {0U, 1U, 2U}) {
        const auto again = ask(node, "k1");
        EXPECT_EQ(again.status, 409);
        EXPECT_EQ(runOf(again), "unknown");
    }
    EXPECT_EQ(effectsOf("k1"), 1U);
}

TEST_F(MoneyClaimsTest, post_serviceOutOfReach_releasesTheClaim)
{
    m_fleet.engine(0).signal(SIGKILL);
    m_fleet.engine(0).wait(5s);
    // Were the claim kept, the second asker would be told 409 and unknown.
    for (const std::size_t node : {0U, 1U}) {
        ASSERT_TRUE(eventually(9s, [&] { return ask(node, "k1").status == 502; }));
        EXPECT_EQ(runOf(ask(node, "k1")), "not_run");
    }
}

TEST_F(MoneyClaimsTest, post_nodesKilledAndAnswersOfTheTableLost_runAtMostOnceAndRefusalsAreTrue)
{
    constexpr int keys = 300;
    std::mutex mutex;
    std::set<std::string> answered;
    std::vector<std::thread> threads;
    for (const std::size_t caller : {0U, 1U, 2U, 3U}) {
        threads.emplace_back([&, caller] {
            for (int index = 0; index < keys; ++index) {
                const auto key = fmt::format("k{}", caller % 2 == 0 ? index : keys - 1 - index);
                const auto answer = ask((caller + static_cast<std::size_t>(index)) % 3, key);
                const std::lock_guard lock(mutex);
                if (answer.status == 200) {
                    answered.insert(key);
                }
            }
        });
    }
    std::mt19937 random(11);
    for (const std::size_t node : {1U, 2U}) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200 + random() % 300));
        post(m_fleet.platform(), "/faults", {{"lose_commit_answers", true}});
        std::this_thread::sleep_for(std::chrono::milliseconds(50 + random() % 100));
        m_fleet.node(node).signal(SIGKILL);
        post(m_fleet.platform(), "/faults", Json::object());
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto counts = effects();
    for (const auto &[key, count] : counts) {
        EXPECT_EQ(count, 1U) << key;
    }
    for (const auto &key : answered) {
        EXPECT_TRUE(counts.contains(key)) << key;
    }
    // What a refusal calls not run has not run: asked again, it runs once or tells the truth.
    for (int index = 0; index < keys; ++index) {
        const auto key = fmt::format("k{}", index);
        const auto before = effectsOf(key);
        const auto answer = ask(0, key);
        EXPECT_LE(effectsOf(key), 1U) << key;
        if (answer.status != 200 && runOf(answer) == "not_run") {
            EXPECT_EQ(before, 0U) << key;
        }
    }
}

} // namespace ibisfork::process
