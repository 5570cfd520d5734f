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

/// Three nodes in three failure domains before two engines, and callers who count what they got.
class MoneyTest : public testing::Test
{
protected:
    void startFleet(const std::string &extraSettings = {}, const std::vector<std::string> &engine = fastEngine())
    {
        m_engines = {m_fleet.addEngine(engine), m_fleet.addEngine(engine)};
        for (const auto *domain : {"a", "b", "c"}) {
            m_fleet.addNode(domain, extraSettings);
        }
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "versions: [{{model: report, version: v1}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], versions: [report@v1]}}]\n"
                                  "upstreams:\n{}{}",
                                  upstreamLine("e1", m_engines[0]),
                                  upstreamLine("e2", m_engines[1])));
        for (const std::size_t node : {0U, 1U, 2U}) {
            ASSERT_TRUE(eventually(9s, [&] { return knowsTheWorkspace(node); }));
        }
    }

    /// A node takes work under its older revision until it has read the newest.
    bool knowsTheWorkspace(std::size_t node) const
    {
        net::HttpRequest request;
        request.path = "/v1/models";
        request.headers.add("Authorization", "Bearer secret");
        return call(m_fleet.callers(node), request).status == 200;
    }

    static std::vector<std::string> fastEngine()
    {
        return {"--tokens", "2", "--first-token-ms", "2", "--between-tokens-ms", "1", "--limit", "1000"};
    }

    static std::string upstreamLine(const std::string &id, const std::string &address)
    {
        return fmt::format(
            "  - {{id: {}, address: {}, failure_domain: a, versions: [report@v1], cold: 300, warm: 300}}\n",
            id,
            address);
    }

    /// Requests ids by how often the table bills them.
    std::map<std::string, unsigned> bills() const
    {
        const Json query{{"keys", Json::array()}, {"prefix", "bills/"}, {"after", ""}};
        const auto answer = Json::parse(post(m_fleet.platform(), "/v1/table/read", query).body);
        std::map<std::string, unsigned> counts;
        for (const auto &row : answer["rows"]) {
            const auto value = Json::parse(row["value"].get<std::string>());
            for (const auto &record : value["records"]) {
                ++counts[Json::parse(record.get<std::string>())["request"]];
            }
        }
        return counts;
    }

    std::map<std::string, unsigned> runs() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto &engine : m_engines) {
            const auto answer = Json::parse(get(engine, "/counts").body);
            for (const auto &[id, count] : answer["runs"].items()) {
                counts[id] += count.get<unsigned>();
            }
        }
        return counts;
    }

    /// Each of @p callers sends @p each requests to the nodes in turn; gives the ids of those answered whole.
    void load(unsigned callers, unsigned each)
    {
        std::vector<std::thread> threads;
        for (unsigned caller = 0; caller < callers; ++caller) {
            threads.emplace_back([this, caller, each] {
                for (unsigned index = 0; index < each; ++index) {
                    note(chat(m_fleet, (caller + index) % 3, "secret"));
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }

    void note(const Answer &answer)
    {
        const std::lock_guard lock(m_mutex);
        const auto id = answer.headers.find("X-Request-Id").value_or("");
        ++m_answers[fmt::format("{} {}", answer.status, answer.status == 200 ? "" : answer.body)];
        if (answer.status == 200) {
            m_answered.insert(id);
        } else if (answer.status != 0 && Json::parse(answer.body)["error"]["run"] == "not_run") {
            m_notRun.insert(id);
        }
    }

    /// Every answered request is billed once, none twice, and what is refused as not run has not run.
    void expectPromises() const
    {
        const auto billed = bills();
        const auto ran = runs();
        for (const auto &id : m_answered) {
            EXPECT_EQ(billed.contains(id) ? billed.at(id) : 0, 1U) << id;
        }
        for (const auto &[id, count] : billed) {
            EXPECT_EQ(count, 1U) << id;
        }
        for (const auto &id : m_notRun) {
            EXPECT_FALSE(!id.empty() && ran.contains(id)) << id;
        }
    }

    void setFaults(const Json &faults) const { post(m_fleet.platform(), "/faults", faults); }

    bool allRunsBilled() const
    {
        return eventually(9s, [this] {
            const auto billed = bills();
            const auto ran = runs();
            return billed.size() == ran.size();
        });
    }

    Fleet m_fleet;
    std::vector<std::string> m_engines;
    std::mutex m_mutex;
    std::set<std::string> m_answered;
    std::set<std::string> m_notRun;
    /// Counts by status and error, to be shown where a test fails.
    std::map<std::string, unsigned> m_answers;
};

TEST_F(MoneyTest, bills_underLoad_areOneForEachRequest)
{
    startFleet();
    load(8, 60);
    EXPECT_EQ(m_answered.size(), 480U) << testing::PrintToString(m_answers);
    EXPECT_TRUE(allRunsBilled());
    expectPromises();
}

TEST_F(MoneyTest, bills_commitAnswersLost_areOneForEachRequest)
{
    startFleet();
    std::thread fault([this] {
        for (int turn = 0; turn < 10; ++turn) {
            setFaults({{"lose_commit_answers", turn % 2 == 0}});
            std::this_thread::sleep_for(100ms);
        }
    });
    load(6, 60);
    fault.join();
    setFaults(Json::object());
    EXPECT_EQ(m_answered.size(), 360U) << testing::PrintToString(m_answers);
    EXPECT_TRUE(allRunsBilled());
    expectPromises();
}

TEST_F(MoneyTest, bills_tableDownForAWhile_areAllThereAfterwards)
{
    startFleet();
    load(3, 20);
    setFaults({{"down", true}});
    load(3, 20);
    setFaults(Json::object());
    load(3, 20);
    EXPECT_EQ(m_answered.size(), 180U) << testing::PrintToString(m_answers);
    EXPECT_TRUE(allRunsBilled());
    expectPromises();
}

TEST_F(MoneyTest, bills_tableDownPastTheBound_refusesAsNotRunAndLosesNothing)
{
    startFleet("limits: {max_pending_bills: 5}\n");
    setFaults({{"down", true}});
    load(3, 10);
    EXPECT_FALSE(m_notRun.empty());
    EXPECT_GE(m_answered.size(), 15U) << testing::PrintToString(m_answers);
    setFaults(Json::object());
    EXPECT_TRUE(allRunsBilled());
    expectPromises();
}

TEST_F(MoneyTest, bills_callerGoneMidAnswer_areOneForEachRun)
{
    startFleet({}, {"--tokens", "50", "--first-token-ms", "20", "--between-tokens-ms", "20"});
    net::HttpRequest request;
    request.method = net::HttpMethod::Post;
    request.path = "/v1/chat/completions";
    request.headers.add("Authorization", "Bearer secret");
    request.body = R"({"messages": [{"role": "user", "content": "hello"}], "stream": true})";
    {
        const auto base = net::makeEventBase();
        net::HttpCallHandlers handlers;
        handlers.chunk = [&](std::string_view) {
            event_base_loopbreak(base.get());
        };
        const net::HttpCall call(base.get(), net::Address::parse(m_fleet.callers(0)), request, 5s, handlers);
        event_base_dispatch(base.get());
    }
    ASSERT_TRUE(eventually(9s, [this] { return bills().size() == 1; }));
    EXPECT_EQ(bills().begin()->second, 1U);
}

TEST_F(MoneyTest, bills_nodeTerminated_areFlushedBeforeItEnds)
{
    startFleet("timing: {bill_window: 1s}\n");
    load(3, 4);
    m_fleet.node(0).signal(SIGTERM);
    EXPECT_EQ(m_fleet.node(0).wait(10s), 0);
    EXPECT_TRUE(allRunsBilled());
    expectPromises();
}

TEST_F(MoneyTest, bills_nodesKilledAtRandomSteps_areOneForEachAnsweredRequest)
{
    startFleet();
    std::mt19937 random(7);
    std::thread killer([&] {
        for (const std::size_t node : {1U, 2U}) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150 + random() % 200));
            m_fleet.node(node).signal(SIGKILL);
        }
    });
    load(9, 120);
    killer.join();
    EXPECT_GE(m_answered.size(), 360U);
    EXPECT_TRUE(eventually(9s, [this] {
        const auto billed = bills();
        return std::all_of(m_answered.begin(), m_answered.end(), [&](const auto &id) { return billed.contains(id); });
    }));
    expectPromises();
}

} // namespace ibisfork::process
