#include <algorithm>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <nlohmann/json.hpp>

#include "process/harness.h"

namespace {

using namespace ibisfork;
using Json = nlohmann::json;

constexpr std::size_t nodesAlive = 7;
constexpr std::size_t engines = 4;
constexpr std::chrono::seconds settleWithin{30};

struct Plan
{
    unsigned requests = 0;
    unsigned callers = 0;
    unsigned kills = 0;
    unsigned seed = 0;
};

/// What callers saw, by the setting of the node that they asked.
struct Seen
{
    std::mutex mutex;
    std::set<std::string> answered;
    std::set<std::string> notRun;
    std::vector<double> milliseconds;
    unsigned others = 0;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// Seven nodes with bills and, for comparison in the same run, one without.
class MoneyBench
{
public:
    explicit MoneyBench(const Plan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
    {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            m_engines.push_back(m_fleet.addEngine(
                {"--tokens", "2", "--first-token-ms", "2", "--between-tokens-ms", "1", "--limit", "100000"}));
        }
        m_without = addNode("limits: {max_pending_bills: 0}\n");
        for (std::size_t node = 0; node < nodesAlive; ++node) {
            m_alive.push_back(addNode(""));
        }
        m_fleet.apply(m_without, config());
        waitReady(m_without);
        for (const auto node : m_alive) {
            waitReady(node);
        }
    }

    void run()
    {
        std::vector<std::thread> threads;
        for (unsigned caller = 0; caller < m_plan.callers; ++caller) {
            threads.emplace_back([this, caller] { call(caller); });
        }
        for (unsigned kill = 1; kill <= m_plan.kills; ++kill) {
            const auto at = m_plan.requests / (m_plan.kills + 1) * kill;
            process::eventually(std::chrono::hours(1), [&] { return m_sent >= at; });
            replaceOne();
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }

    Json report()
    {
        process::eventually(settleWithin, [this] { return missing(bills()) == 0; });
        const auto billed = bills();
        const auto runs = this->runs();
        unsigned doubled = 0;
        for (const auto &[id, count] : billed) {
            doubled += count > 1 ? 1 : 0;
        }
        const auto falseRefusals = std::count_if(m_with.notRun.begin(), m_with.notRun.end(), [&](const auto &id) {
            return !id.empty() && runs.contains(id);
        });
        std::size_t unbilledRuns = 0;
        for (const auto &[id, count] : runs) {
            unbilledRuns += !billed.contains(id) && !m_bare.answered.contains(id) ? 1 : 0;
        }
        return {{"requests", m_plan.requests},
                {"kills", m_plan.kills},
                {"answered_with_bills", m_with.answered.size()},
                {"bills", billed.size()},
                {"bills_lost", missing(billed)},
                {"bills_doubled", doubled},
                {"false_refusals", falseRefusals},
                {"runs_without_bill_not_answered", unbilledRuns},
                {"not_answered", m_with.others},
                {"with_bills_ms",
                 {{"p50", quantile(m_with.milliseconds, 0.5)}, {"p95", quantile(m_with.milliseconds, 0.95)}}},
                {"without_bills_ms",
                 {{"p50", quantile(m_bare.milliseconds, 0.5)}, {"p95", quantile(m_bare.milliseconds, 0.95)}}}};
    }

private:
    std::size_t addNode(const std::string &extra)
    {
        return m_fleet.addNode(fmt::format("d{}", m_random() % 3), extra + "log_level: warning\n");
    }

    std::string config() const
    {
        std::string text = "failure_domains: [{name: a, region: r1}]\n"
                           "versions: [{model: report, version: v1}]\n"
                           "workspaces: [{name: w1, keys: [secret], versions: [report@v1]}]\n"
                           "upstreams:\n";
        for (std::size_t engine = 0; engine < engines; ++engine) {
            text += fmt::format(
                "  - {{id: e{}, address: {}, failure_domain: a, versions: [report@v1], cold: 2000, warm: 2000}}\n",
                engine,
                m_engines[engine]);
        }
        return text;
    }

    void waitReady(std::size_t node)
    {
        process::eventually(settleWithin, [&] { return chat(m_fleet, node, "secret").status == 200; });
    }

    /// Kills a node and starts another in its place.
    void replaceOne()
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_random() % m_alive.size();
        m_fleet.node(m_alive[place]).signal(SIGKILL);
        m_alive[place] = addNode("");
    }

    std::string target(unsigned index, bool bare)
    {
        const std::lock_guard lock(m_mutex);
        return m_fleet.callers(bare ? m_without : m_alive[index % m_alive.size()]);
    }

    void call(unsigned caller)
    {
        for (unsigned index = m_sent++; index < m_plan.requests; index = m_sent++) {
            // One request in eight goes to the node without bills, so that all nodes get the same load.
            const bool bare = index % (nodesAlive + 1) == 0;
            note(bare ? m_bare : m_with, target(index + caller, bare));
        }
    }

    static void note(Seen &seen, const std::string &address)
    {
        net::HttpHeaders headers;
        headers.add("Authorization", "Bearer secret");
        const auto begin = base::monotonicNow();
        const auto answer = process::post(
            address, "/v1/chat/completions", {{"messages", {{{"role", "user"}, {"content", "hello"}}}}}, headers);
        const auto took = base::toSeconds(base::monotonicNow() - begin) * 1000;
        const auto id = answer.headers.find("X-Request-Id").value_or("");
        const std::lock_guard lock(seen.mutex);
        if (answer.status == 200) {
            seen.answered.insert(id);
            seen.milliseconds.push_back(took);
            return;
        }
        ++seen.others;
        if (answer.body.find("not_run") != std::string::npos) {
            seen.notRun.insert(id);
        }
    }

    std::map<std::string, unsigned> bills() const
    {
        const Json query{{"keys", Json::array()}, {"prefix", "bills/"}, {"after", ""}};
        const auto answer = Json::parse(process::post(m_fleet.platform(), "/v1/table/read", query).body);
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
            const auto answer = Json::parse(process::get(engine, "/counts").body);
            for (const auto &[id, count] : answer["runs"].items()) {
                counts[id] += count.get<unsigned>();
            }
        }
        return counts;
    }

    std::size_t missing(const std::map<std::string, unsigned> &billed) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_with.answered.begin(), m_with.answered.end(), [&](const auto &id) { return !billed.contains(id); }));
    }

    Plan m_plan;
    std::mt19937 m_random;
    process::Fleet m_fleet;
    std::vector<std::string> m_engines;
    std::size_t m_without = 0;
    std::vector<std::size_t> m_alive;
    std::mutex m_mutex;
    std::atomic<unsigned> m_sent{0};
    Seen m_with;
    Seen m_bare;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("bench-money",
                                 "Counts bills while nodes are killed, and what bills add to a request.");
        auto add = options.add_options();
        add("requests", "requests in all", cxxopts::value<unsigned>()->default_value("10000"));
        add("callers", "requests at once", cxxopts::value<unsigned>()->default_value("32"));
        add("kills", "nodes killed and replaced", cxxopts::value<unsigned>()->default_value("0"));
        add("seed", "of the choice of nodes", cxxopts::value<unsigned>()->default_value("1"));
        const auto arguments = options.parse(argc, argv);
        MoneyBench bench({arguments["requests"].as<unsigned>(),
                          arguments["callers"].as<unsigned>(),
                          arguments["kills"].as<unsigned>(),
                          arguments["seed"].as<unsigned>()});
        bench.run();
        fmt::print(std::cout, "{}\n", bench.report().dump(2));
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-money: " << error.what() << '\n';
        return 1;
    }
}
