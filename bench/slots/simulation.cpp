#include "slots/simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace ibisfork::bench {

using namespace std::chrono_literals;

namespace {

constexpr unsigned nodeCount = 7;
constexpr unsigned engineCount = 20;
constexpr unsigned cold = 2;
constexpr unsigned warm = 16;
constexpr auto ramp = 30s;
constexpr auto length = 300s;
constexpr auto maxWait = 5s;
constexpr auto oneWay = 2ms;
constexpr std::chrono::seconds acceptedAfter{6};
constexpr auto pollStep = 50ms;
constexpr auto restartEvery = 25s;
constexpr auto nodeReplacedAfter = 150s;
constexpr double firstTokenSeconds = 0.2;
constexpr double restSeconds = 2.8;
constexpr double meanRunSeconds = 3.1;

base::Duration seconds(double value)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

std::string engineName(unsigned index)
{
    return fmt::format("e{:02}", index);
}

} // namespace

Simulation::Simulation(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_end(m_now + length)
    , m_engines(engineCount)
    , m_nodes(nodeCount)
{
    for (auto &engine : m_engines) {
        engine.startedAt = m_now - 1h;
    }
    for (unsigned i = 0; i < nodeCount; ++i) {
        startNode(i);
    }
    updateNodes();
    m_enginesKnown = true;
    updateNodes();
}

Result Simulation::run()
{
    for (unsigned i = 0; i < nodeCount; ++i) {
        schedule(i * 7ms, [this, i] { poll(i); });
    }
    // The nodes have heard from all engines by then.
    schedule(2s, [this] { arrive(); });
    for (auto at = base::Duration(restartEvery); at < length; at += restartEvery) {
        schedule(at, [this] { restart(static_cast<unsigned>(m_random() % engineCount)); });
    }
    schedule(nodeReplacedAfter, [this] { replaceNode(3); });
    while (!m_events.empty() && m_events.top().at < m_end) {
        const auto event = m_events.top();
        m_events.pop();
        account(event.at);
        m_now = event.at;
        event.action();
    }
    m_result.unusedWhileWaiting = m_capacity > 0 ? m_idleWhileWaiting / m_capacity : 0;
    return m_result;
}

void Simulation::schedule(base::Duration after, Action action)
{
    m_events.push({m_now + after, m_nextEvent++, std::move(action)});
}

void Simulation::startNode(unsigned index)
{
    auto &node = m_nodes[index];
    node.name = fmt::format("node-{}", index);
    ++node.life;
    // The baselines know of no former holders to wait for.
    const auto times
        = m_scenario.sharing == Sharing::Slots ? coord::SlotTimeBounds{60s} : coord::SlotTimeBounds{0s, 0s};
    node.limits = std::make_unique<upstream::ConcurrencyTracker>(node.name, std::to_string(node.life), times);
    node.limits->onNotice([this, index](const upstream::ColdStartNotice &notice) {
        schedule(2 * oneWay, [this, index, notice] {
            for (unsigned other = 0; other < nodeCount; ++other) {
                if (other != index) {
                    m_nodes[other].limits->applyNotice(notice, m_now);
                }
            }
        });
    });
}

void Simulation::updateNodes()
{
    ++m_revision;
    for (auto &node : m_nodes) {
        node.limits->update(configFor(node), m_now);
    }
    schedule(m_scenario.sharing == Sharing::Slots ? acceptedAfter : 0s, [this, revision = m_revision] {
        for (auto &node : m_nodes) {
            node.limits->recordAccepted(revision, m_now);
        }
    });
}

fleet::Config Simulation::configFor(const Node &self) const
{
    fleet::Config config;
    config.revision = m_revision;
    for (const auto &node : m_nodes) {
        if (m_scenario.sharing == Sharing::Slots || node.name == self.name) {
            config.members[node.name] = {node.name, std::to_string(node.life), {}, "d1", "r1"};
        }
    }
    config.failureDomains["d1"] = {"d1", "r1", fleet::DomainState::In};
    const unsigned parts = m_scenario.sharing == Sharing::StaticDivision ? nodeCount : 1;
    for (unsigned i = 0; m_enginesKnown && i < engineCount; ++i) {
        fleet::Upstream upstream;
        upstream.id = engineName(i);
        upstream.failureDomain = "d1";
        upstream.limit = {cold / parts, warm / parts, ramp};
        config.upstreams[upstream.id] = upstream;
    }
    return config;
}

void Simulation::arrive()
{
    const double rate = m_scenario.load * engineCount * warm / meanRunSeconds;
    schedule(seconds(std::exponential_distribution(rate)(m_random)), [this] { arrive(); });
    // The balancer passes over nodes that are not ready.
    auto node = static_cast<unsigned>(m_random() % nodeCount);
    while (!m_nodes[node].limits->hasMostSlotsUsable(m_now)) {
        node = static_cast<unsigned>(m_random() % nodeCount);
    }
    m_nodes[node].waiting.push_back(m_now);
    drain(node);
}

void Simulation::drain(unsigned index)
{
    auto &node = m_nodes[index];
    while (!node.waiting.empty()) {
        const auto askedAt = node.waiting.front();
        if (m_now - askedAt > maxWait) {
            ++m_result.refused;
            node.waiting.pop_front();
            continue;
        }
        const int engine = pick(node);
        if (engine < 0) {
            return;
        }
        node.waiting.pop_front();
        send(index, static_cast<unsigned>(engine), askedAt);
    }
}

int Simulation::pick(const Node &node)
{
    std::vector<unsigned> open;
    for (unsigned i = 0; i < engineCount; ++i) {
        if (node.limits->availableCapacity(engineName(i), m_now) > 0) {
            open.push_back(i);
        }
    }
    if (open.empty()) {
        return -1;
    }
    const auto first = open[m_random() % open.size()];
    const auto second = open[m_random() % open.size()];
    const bool better = node.limits->occupancy(engineName(second)) < node.limits->occupancy(engineName(first));
    return static_cast<int>(better ? second : first);
}

void Simulation::send(unsigned node, unsigned engine, base::TimePoint askedAt)
{
    m_nodes[node].limits->recordStart(engineName(engine));
    schedule(oneWay, [this, node, life = m_nodes[node].life, engine, askedAt] { begin(node, life, engine, askedAt); });
}

void Simulation::begin(unsigned node, unsigned nodeLife, unsigned index, base::TimePoint askedAt)
{
    auto &engine = m_engines[index];
    if (m_nodes[node].life != nodeLife) {
        ++m_result.lost;
        return;
    }
    if (m_now < engine.startedAt) {
        m_nodes[node].limits->recordEnd(engineName(index));
        m_nodes[node].limits->recordConnectionRefused(engineName(index), m_now);
        m_nodes[node].waiting.push_front(askedAt);
        return;
    }
    if (engine.running >= bears(engine)) {
        ++m_result.overLimit;
        ++m_result.falls;
        engine.owners.emplace_back(node, nodeLife);
        restart(index);
        return;
    }
    ++engine.running;
    engine.owners.emplace_back(node, nodeLife);
    const double first = firstTokenSeconds * (1.0 + static_cast<double>(engine.running) / warm);
    m_result.firstTokenMs.push_back(base::toSeconds(m_now - askedAt) * 1e3 + first * 1e3);
    schedule(oneWay, [this, node, nodeLife, index, life = engine.life] {
        if (m_nodes[node].life == nodeLife) {
            m_nodes[node].limits->recordIncarnation(engineName(index), std::to_string(life), m_now);
        }
    });
    schedule(seconds(first + restSeconds),
             [this, node, nodeLife, index, life = engine.life] { end(node, nodeLife, index, life); });
}

void Simulation::end(unsigned node, unsigned nodeLife, unsigned index, unsigned engineLife)
{
    auto &engine = m_engines[index];
    if (engine.life != engineLife) {
        return;
    }
    --engine.running;
    engine.owners.erase(std::find(engine.owners.begin(), engine.owners.end(), std::pair(node, nodeLife)));
    if (m_nodes[node].life != nodeLife) {
        ++m_result.lost;
        return;
    }
    ++m_result.answered;
    schedule(oneWay, [this, node, nodeLife, index] {
        if (m_nodes[node].life == nodeLife) {
            m_nodes[node].limits->recordEnd(engineName(index));
            drain(node);
        }
    });
}

void Simulation::restart(unsigned index)
{
    auto &engine = m_engines[index];
    ++engine.life;
    engine.running = 0;
    engine.startedAt = m_now + m_scenario.downtime;
    const auto owners = std::exchange(engine.owners, {});
    m_result.lost += static_cast<unsigned>(owners.size());
    for (const auto &owner : owners) {
        schedule(oneWay, [this, index, node = owner.first, nodeLife = owner.second] {
            if (m_nodes[node].life == nodeLife) {
                m_nodes[node].limits->recordEnd(engineName(index));
                m_nodes[node].limits->recordConnectionLost(engineName(index), m_now);
            }
        });
    }
}

void Simulation::poll(unsigned index)
{
    auto &node = m_nodes[index];
    const auto engineIndex = node.nextPoll++ % engineCount;
    const auto &engine = m_engines[engineIndex];
    if (m_now < engine.startedAt) {
        node.limits->recordConnectionRefused(engineName(engineIndex), m_now);
    } else {
        const upstream::LoadReport report{
            std::to_string(engine.life), engine.running, m_now - engine.startedAt, {}, false};
        node.limits->recordLoadReport(engineName(engineIndex), report, m_now, m_now);
    }
    drain(index);
    schedule(pollStep, [this, index] { poll(index); });
}

void Simulation::replaceNode(unsigned index)
{
    auto &node = m_nodes[index];
    m_result.lost += static_cast<unsigned>(node.waiting.size());
    node.waiting.clear();
    startNode(index);
    updateNodes();
}

unsigned Simulation::bears(const Engine &engine) const
{
    const double age = base::toSeconds(m_now - engine.startedAt) / base::toSeconds(ramp);
    return cold + static_cast<unsigned>(std::clamp(age, 0.0, 1.0) * (warm - cold));
}

void Simulation::account(base::TimePoint until)
{
    const double time = base::toSeconds(until - m_now);
    unsigned borne = 0;
    unsigned running = 0;
    for (const auto &engine : m_engines) {
        borne += m_now < engine.startedAt ? 0 : bears(engine);
        running += engine.running;
    }
    const bool waiting
        = std::any_of(m_nodes.begin(), m_nodes.end(), [](const Node &node) { return !node.waiting.empty(); });
    m_capacity += time * borne;
    m_idleWhileWaiting += waiting ? time * (borne - std::min(borne, running)) : 0;
}

} // namespace ibisfork::bench
