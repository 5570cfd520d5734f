#include "world.h"

#include <csignal>
#include <set>

#include <fmt/format.h>

namespace ibisfork::soak {

namespace {

using namespace std::chrono_literals;
using gateway::test::LinkMode;
using gateway::test::PathCut;
using gateway::test::StoreMode;

constexpr auto nodeRestart = 400ms;
constexpr auto shortestLoss = 2s;
/// Of so many losses of paths one is of a single service.
constexpr unsigned singleServiceOneIn = 4;
constexpr auto engineRestart = 800ms;
/// A draining engine goes on serving for at least this long.
constexpr auto drainTime = 2500ms;
/// The grace of the nodes' settings, and some time to end.
constexpr auto gracefulStop = 9s;
constexpr auto lapsedEntries = 1000ms;
constexpr auto storeClockStep = 700ms;
/// Time in which operators and engines write again what a store that came back older has lost.
constexpr auto rewriteTime = 600ms;
/// Three heartbeat intervals of engines.
constexpr auto lapseTime = 3600ms;

} // namespace

void World::apply(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KillNode:
    case FaultKind::TerminateNode:
    case FaultKind::PauseNode:
    case FaultKind::SignalReload:
    case FaultKind::CutNodeFromStore:
    case FaultKind::SilenceNodesStoreLinks:
        harmNode(fault, fault.target % m_nodes.size());
        return;
    case FaultKind::RefuseAtStore:
    case FaultKind::SilenceStore:
    case FaultKind::LoseWriteAnswers:
    case FaultKind::ForgetHistory:
    case FaultKind::StepStoreClock:
    case FaultKind::RestoreOlderStore:
        harmStore(fault);
        return;
    case FaultKind::ResetEngineLinks:
    case FaultKind::SilenceEngineLinks:
    case FaultKind::CutEngineOneWay:
    case FaultKind::DelayEngineLinks:
    case FaultKind::CrashEngine:
    case FaultKind::RestartEngineSameId:
    case FaultKind::DrainEngine:
    case FaultKind::FailAtEngine:
    case FaultKind::MarkLeavingEngine:
    case FaultKind::RestEngine:
        harmEngine(fault, fault.target % m_engines.size());
        return;
    case FaultKind::PauseEngine:
    case FaultKind::PauseSeveralEngines:
    case FaultKind::PauseService:
    case FaultKind::PauseBesideFull:
    case FaultKind::BusyEngines:
        hinderEngines(fault);
        return;
    case FaultKind::LosePathsSilently:
    case FaultKind::LosePathsOneWay:
    case FaultKind::LosePathsByReset:
        losePaths(fault);
        return;
    case FaultKind::RewriteSettings:
    case FaultKind::HalfWriteSettings:
    case FaultKind::StartOnHalfSettings:
    case FaultKind::TakePort:
    case FaultKind::OpenIdleConnections:
        harmStart(fault, fault.target % m_nodes.size());
        return;
    case FaultKind::ChangeConfiguration:
    case FaultKind::RevokeKey:
    case FaultKind::EvacuateDomain:
    case FaultKind::ChangeTimes:
    case FaultKind::MoveStreams:
        changeOrders(fault);
        return;
    }
}

void World::losePaths(const Fault &fault)
{
    const auto now = base::monotonicNow();
    if (now < m_pathsLostUntil) {
        return;
    }
    m_pathsLostUntil = now + shortestLoss + fault.lasts;
    const auto count = m_nodes.size();
    const auto node = [&](unsigned offset) {
        return (fault.target + offset) % count;
    };
    // One node has no path to either service, and for each of them another one serves.
    losePathsTo("a", {node(0), node(1)}, fault);
    if (fault.target % singleServiceOneIn != 0) {
        losePathsTo("b", {node(1), node(2)}, fault);
    }
}

void World::losePathsTo(const std::string &service, const std::set<std::size_t> &nodes, const Fault &fault)
{
    const auto lasts = m_pathsLostUntil - base::monotonicNow();
    auto way = PathCut::Silent;
    if (fault.kind != FaultKind::LosePathsSilently) {
        way = fault.kind == FaultKind::LosePathsOneWay ? PathCut::OneWay : PathCut::Reset;
    }
    for (const auto node : nodes) {
        disturbPaths(node, lasts);
        m_paths[node]->cut(service, way);
        after(lasts, [this, node, service] { m_paths[node]->heal(service); });
    }
    m_losses.push_back({service, nodes, base::monotonicNow(), m_pathsLostUntil});
}

void World::harmNode(const Fault &fault, std::size_t index)
{
    auto &node = *m_nodes[index];
    switch (fault.kind) {
    case FaultKind::KillNode:
        disturbPaths(index, nodeRestart);
        m_ledger.killed(base::monotonicNow());
        node.kill();
        after(nodeRestart, [&node] { node.started() ? void() : node.start(); });
        return;
    case FaultKind::TerminateNode:
        // A graceful stop harms nobody, so it is no disturbance. The node starts again when it has ended.
        if (!node.stopping()) {
            m_ledger.pathDisturbances.note(index, base::monotonicNow(), base::monotonicNow() + gracefulStop);
            m_ledger.terminated(index, base::monotonicNow());
            node.terminate();
            after(gracefulStop, [this, index, start = node.starts()] { checkStopped(index, start); });
        }
        return;
    case FaultKind::PauseNode:
        disturbPaths(index, fault.lasts);
        m_ledger.stops.note(index, base::monotonicNow(), base::monotonicNow() + fault.lasts);
        node.signal(SIGSTOP);
        after(fault.lasts, [&node] { node.signal(SIGCONT); });
        return;
    case FaultKind::SignalReload:
        // Until its main function runs, a process can't keep the signal from ending it; GatewaySignalsTest covers the
        // rest.
        if (node.readAddresses()) {
            node.signal(SIGHUP);
        }
        return;
    case FaultKind::CutNodeFromStore:
        disturb(index, fault.lasts);
        node.storeLink().setMode(LinkMode::Silent);
        after(fault.lasts, [&node] {
            node.storeLink().setMode(LinkMode::Passing);
            node.storeLink().resetAll();
        });
        return;
    default:
        // For the promises this counts as a reset of the node's connections.
        disturb(index, 0s);
        node.storeLink().silenceOpen();
        return;
    }
}

void World::checkStopped(std::size_t index, unsigned start)
{
    auto &node = *m_nodes[index];
    const auto now = base::monotonicNow();
    // The process that runs now may have been asked to stop later.
    const bool isSame = node.started() && node.starts() == start;
    if (!isSame || !node.stopping() || !m_ledger.disturbances.calm(index, now - gracefulStop, now)) {
        return;
    }
    m_ledger.broken(fmt::format("node {} does not end within its grace", index));
}

void World::harmStore(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::ForgetHistory:
        m_store.dropHistory();
        return;
    case FaultKind::StepStoreClock:
        m_store.stepClock(storeClockStep);
        return;
    case FaultKind::RestoreOlderStore:
        restoreOlderStore(fault);
        return;
    case FaultKind::LoseWriteAnswers:
        disturbFleetState(fault.lasts);
        m_store.setMode(StoreMode::LosingWriteAnswers);
        break;
    default:
        disturbFleetState(fault.lasts);
        m_storeAway = true;
        m_store.setMode(fault.kind == FaultKind::SilenceStore ? StoreMode::Silent : StoreMode::Refusing);
        break;
    }
    after(fault.lasts, [this] {
        m_store.setMode(StoreMode::Serving);
        if (!std::exchange(m_storeAway, false)) {
            return;
        }
        // Some entries have lapsed, and their engines, which live, write them again.
        disturbFleetState(lapsedEntries);
        for (std::size_t i = 0; i < m_engines.size(); i += 2) {
            m_store.remove("servers", m_engines[i].engine->identity().id);
        }
        after(lapsedEntries, [this] { beat(); });
    });
}

void World::restoreOlderStore(const Fault &fault)
{
    disturbFleetState(fault.lasts + rewriteTime);
    m_store.takeCopy();
    after(fault.lasts, [this] {
        m_store.comeBackFromCopy();
        after(rewriteTime, [this] {
            m_store.rewriteLost("op");
            beat();
        });
        after(lapseTime, [this] { removeLapsedEntries(); });
    });
}

void World::removeLapsedEntries()
{
    std::set<std::string> running;
    for (const auto &slot : m_engines) {
        running.insert(slot.engine->identity().id);
    }
    for (unsigned i = 0; i < m_engineCount; ++i) {
        const auto id = fmt::format("e{}", i);
        if (!running.contains(id) && m_store.find("servers", id)) {
            m_store.remove("servers", id);
        }
    }
}

void World::harmEngine(const Fault &fault, std::size_t index)
{
    auto &slot = m_engines[index];
    if (fault.kind == FaultKind::RestEngine) {
        slot.engine->restUntil(base::monotonicNow() + fault.lasts);
        return;
    }
    if (fault.kind == FaultKind::MarkLeavingEngine) {
        slot.engine->leave();
        restartEngine(index, drainTime + fault.lasts);
        return;
    }
    if (fault.kind != FaultKind::DrainEngine) {
        // Whatever harms an engine may break off any node's requests there.
        disturbPaths(std::nullopt, fault.lasts);
    }
    switch (fault.kind) {
    case FaultKind::ResetEngineLinks:
        slot.link->resetAll();
        return;
    case FaultKind::SilenceEngineLinks:
        slot.link->silenceOpen();
        return;
    case FaultKind::CutEngineOneWay:
    case FaultKind::DelayEngineLinks:
        slot.link->setMode(fault.kind == FaultKind::CutEngineOneWay ? LinkMode::OneWay : LinkMode::Delayed);
        after(fault.lasts, [this, index] { m_engines[index].link->setMode(LinkMode::Passing); });
        return;
    case FaultKind::FailAtEngine:
        slot.engine->setFailing(true);
        after(fault.lasts, [this, index] { m_engines[index].engine->setFailing(false); });
        return;
    case FaultKind::CrashEngine:
        m_store.remove("servers", slot.engine->identity().id);
        slot.link->resetAll();
        slot.engine->crash();
        restartEngine(index, engineRestart);
        return;
    case FaultKind::RestartEngineSameId: {
        auto identity = slot.engine->identity();
        slot.link->resetAll();
        slot.engine->crash();
        addEngine(identity.id, identity.service, index, identity.born + 1);
        return;
    }
    default:
        m_ledger.pathDisturbances.note(std::nullopt, base::monotonicNow(), base::monotonicNow());
        disturbFleetState(0s);
        slot.state = "draining";
        list(slot);
        m_ledger.drained(slot.engine->identity().id, base::monotonicNow());
        restartEngine(index, drainTime + fault.lasts);
        return;
    }
}

void World::restartEngine(std::size_t index, base::Duration delay)
{
    after(delay, [this, index] {
        disturbPaths(std::nullopt, 0s);
        const auto identity = m_engines[index].engine->identity();
        m_store.remove("servers", identity.id);
        m_engines[index].link->resetAll();
        addEngine(fmt::format("e{}", m_engineCount++), identity.service, index, 1);
    });
}

void World::changeOrders(const Fault &fault)
{
    if (fault.kind == FaultKind::ChangeConfiguration) {
        m_movingTo = m_movingTo == "a" ? "b" : "a";
        configure();
        return;
    }
    if (fault.kind == FaultKind::ChangeTimes) {
        m_otherTimes = !m_otherTimes;
        configure();
        return;
    }
    if (fault.kind == FaultKind::MoveStreams) {
        m_streamsTo = m_streamsTo == "a" ? "b" : "a";
        configure();
        return;
    }
    if (fault.kind == FaultKind::RevokeKey) {
        m_secondKey = false;
        configure();
        return;
    }
    const auto domain = fmt::format("d{}", fault.target % 3);
    m_store.put("op", "evacuate/" + domain, "{}");
    m_ledger.evacuated(domain, true, base::monotonicNow());
    after(fault.lasts, [this, domain] {
        m_ledger.evacuated(domain, false, base::monotonicNow());
        m_store.remove("op", "evacuate/" + domain);
    });
}

} // namespace ibisfork::soak
