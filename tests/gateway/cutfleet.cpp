#include "cutfleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ibisfork::gateway::test {

using namespace std::chrono_literals;

namespace {

constexpr auto workTime = 15ms;
/// Each node is asked once in this time.
constexpr auto betweenRequests = 60ms;
constexpr auto loopTime = 10ms;
/// Longer than any route's timeout.
constexpr auto lastAnswers = 2500ms;
/// Nodes know what the store holds after this time.
constexpr auto pollTime = 1500ms;
/// Into a cut, when a node is killed, and when it starts again.
constexpr auto killAfter = 600ms;
constexpr auto startAfter = 1000ms;

struct Route
{
    const char *name;
    const char *method;
    const char *kind;
    const char *service;
    int attempts;
    int timeoutMs;
    int objectiveMs;
};

constexpr std::array routes{
    Route{"read", "GET", "idempotent", "s", 2, 800, 100},
    Route{"enter", "POST", "non_idempotent", "s", 1, 800, 100},
    Route{"chat", "POST", "streaming", "t", 3, 2000, 500},
    Route{"order", "POST", "non_idempotent", "t", 1, 2000, 500},
};

} // namespace

CutFleetTest::CutFleetTest()
{
    m_configuration["routes"] = nlohmann::json::array();
    for (const auto &item : routes) {
        auto entry = route(item.name, std::string("/") + item.name + "/", item.kind, item.attempts);
        entry["service"] = item.service;
        entry["timeoutMs"] = item.timeoutMs;
        entry["goalMs"] = item.objectiveMs;
        m_configuration["routes"].push_back(entry);
    }
    auto second = m_configuration["services"][0];
    second["name"] = "t";
    m_configuration["services"].push_back(second);
}

void CutFleetTest::listEngines(Node &node)
{
    for (std::size_t i = 0; i < m_fleetEngines.size(); ++i) {
        auto entry = engineEntry(node.paths[i]->address());
        entry["service"] = m_fleetEngines[i].service;
        node.store->put("servers", m_fleetEngines[i].id, entry.dump());
    }
}

void CutFleetTest::startEngines(const CutPlan &plan)
{
    const auto decide = [](const http::Request &request) {
        auto reply = request.head.target.starts_with("/chat/") ? streamReply(1, 2) : plainReply(200, "good");
        reply.delay = workTime;
        return reply;
    };
    for (const auto &[service, count] : plan.engines) {
        for (std::size_t i = 0; i < count; ++i) {
            m_fleetEngines.push_back(
                {service + std::to_string(i), service, std::make_unique<FakeEngine>(m_base.get())});
            m_fleetEngines.back().engine->willDecide(decide);
        }
    }
}

void CutFleetTest::startNodes(const CutPlan &plan)
{
    startEngines(plan);
    m_nodes.resize(plan.nodes);
    for (std::size_t i = 0; i < plan.nodes; ++i) {
        auto &node = m_nodes[i];
        node.store = std::make_unique<FakeStore>(m_base.get());
        for (const auto &item : m_fleetEngines) {
            node.paths.push_back(std::make_unique<FaultProxy>(m_base.get(), item.engine->address()));
        }
        node.store->put("op", "config", m_configuration.dump());
        listEngines(node);
        startNode(i);
    }
    // The rows arrive by polls.
    playCalm(pollTime);
}

void CutFleetTest::startNode(std::size_t index)
{
    auto &node = m_nodes[index];
    auto settings = m_settings;
    settings.node.name = nameOf(index);
    // Nodes of one domain would read the table of engines, and so their paths, from each other.
    settings.node.failureDomain = "d" + std::to_string(index);
    settings.store = node.store->address();
    node.metrics = std::make_unique<base::MetricsRegistry>();
    node.gateway = std::make_unique<Gateway>(m_base.get(), settings, *node.metrics);
    node.gateway->start();
    // A node that starts again writes its row anew, since its ports are others.
    const auto port = ":" + std::to_string(node.gateway->forwarding().port);
    ASSERT_TRUE(until([&] {
        const auto row = node.store->find("ibisfork", "node/" + nameOf(index));
        return node.gateway->ready() && row && row->find(port) != std::string::npos;
    }));
    shareRows();
}

void CutFleetTest::shareRows()
{
    for (std::size_t from = 0; from < m_nodes.size() && !m_hidesNodes; ++from) {
        const auto key = "node/" + nameOf(from);
        const auto row = m_nodes[from].store ? m_nodes[from].store->find("ibisfork", key) : std::nullopt;
        for (std::size_t to = 0; to < m_nodes.size() && row; ++to) {
            if (m_nodes[to].store && m_nodes[to].store->find("ibisfork", key) != row) {
                m_nodes[to].store->put("ibisfork", key, *row);
            }
        }
    }
}

void CutFleetTest::cut(const CutSpell &spell)
{
    for (const auto &[service, nodes] : spell.nodes) {
        for (const auto node : nodes) {
            bool isSpared = spell.sparesOne;
            for (std::size_t i = 0; i < m_fleetEngines.size(); ++i) {
                if (m_fleetEngines[i].service == service && !std::exchange(isSpared, false)) {
                    m_nodes[node].paths[i]->cut(spell.way);
                }
            }
        }
    }
}

void CutFleetTest::heal()
{
    for (auto &node : m_nodes) {
        for (auto &path : node.paths) {
            path->heal();
        }
    }
    setStoreMode(StoreMode::Serving);
}

void CutFleetTest::setStoreMode(StoreMode mode)
{
    for (auto &node : m_nodes) {
        node.store->setMode(mode);
    }
}

void CutFleetTest::beginBeside(const CutSpell &spell)
{
    switch (spell.beside) {
    case Beside::Nothing:
    case Beside::NodeStarts:
        return;
    case Beside::EngineDown:
        for (auto &node : m_nodes) {
            node.paths.back()->cut(PathCut::Reset);
        }
        return;
    case Beside::StoreAway:
        setStoreMode(StoreMode::Silent);
        return;
    case Beside::Configuration:
        m_configuration["version"] = m_configuration["version"].get<int>() + 1;
        for (auto &node : m_nodes) {
            node.store->put("op", "config", m_configuration.dump());
        }
        return;
    }
}

std::vector<FirstTry> CutFleetTest::play(const CutSpell &spell)
{
    beginBeside(spell);
    cut(spell);
    auto left = spell.lasts;
    if (spell.beside == Beside::NodeStarts) {
        const auto restarted = *spell.nodes.begin()->second.begin();
        ask(killAfter);
        m_nodes[restarted].gateway.reset();
        ask(startAfter - killAfter);
        startNode(restarted);
        left -= startAfter;
    }
    ask(left);
    heal();
    return collect();
}

std::vector<FirstTry> CutFleetTest::playCalm(base::Duration time)
{
    ask(time);
    return collect();
}

void CutFleetTest::ask(base::Duration time)
{
    const auto end = base::monotonicNow() + time;
    for (auto next = base::monotonicNow(); base::monotonicNow() < end; runFor(loopTime)) {
        if (base::monotonicNow() < next) {
            continue;
        }
        next += betweenRequests;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].gateway) {
                sendTo(i, std::uniform_int_distribution<std::size_t>(0, routes.size() - 1)(m_random));
            }
        }
    }
}

int CutFleetTest::askOnce(std::size_t node, const std::string &name)
{
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const Route &item) { return item.name == name; });
    sendTo(node, static_cast<std::size_t>(found - routes.begin()));
    return collect().back().status;
}

Answer CutFleetTest::forward(std::size_t node, const std::string &bytes)
{
    FakeCaller caller(m_base.get(), m_nodes[node].gateway->forwarding());
    caller.send(bytes);
    until([&] { return caller.done(); }, lastAnswers);
    return caller.answer();
}

std::size_t CutFleetTest::crashesReported(std::size_t node) const
{
    const auto row = m_nodes[node].store->find(ownTable, std::string(crashEvidencePrefix) + nameOf(node));
    const auto evidence = row ? decodeCrashEvidence(*row) : std::nullopt;
    return evidence.value_or(CrashEvidence{}).reports.size();
}

void CutFleetTest::sendTo(std::size_t node, std::size_t route)
{
    const auto &item = routes.at(route);
    const auto id = "id" + std::to_string(++m_requests);
    const std::string body = std::string_view(item.method) == "GET" ? "" : "question " + id;
    auto bytes = request(item.method, std::string("/") + item.name + "/x", {}, body);
    const std::string usualId = "a1";
    bytes.replace(bytes.find(usualId), usualId.size(), id);
    Asked asked{{node, item.service, base::monotonicNow(), 0}, {}};
    asked.caller = std::make_unique<FakeCaller>(m_base.get(), m_nodes[node].gateway->callers());
    asked.caller->send(bytes);
    m_asked.push_back(std::move(asked));
}

std::vector<FirstTry> CutFleetTest::collect()
{
    const auto allDone = [this] {
        return std::all_of(m_asked.begin(), m_asked.end(), [](const Asked &item) { return item.caller->done(); });
    };
    until(allDone, lastAnswers);
    std::vector<FirstTry> out;
    for (auto &item : std::exchange(m_asked, {})) {
        item.asked.status = item.caller->answer().complete ? item.caller->answer().status : 0;
        out.push_back(item.asked);
    }
    return out;
}

} // namespace ibisfork::gateway::test
