#include <csignal>

#include <fmt/format.h>

#include "domains.h"
#include "world.h"

namespace ibisfork::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto memoryInterval = 20ms;
/// The platform starts a process again after this time.
constexpr auto restartDelay = 50ms;
constexpr auto longestPortTaken = 1500ms;
constexpr auto longestHalfSettings = 2500ms;
constexpr auto idleTime = 2s;
/// A node that hands back the processor waits for events more often in that time.
constexpr std::size_t leastWaits = 10;
constexpr std::size_t unusualEngines = 4;

} // namespace

void World::addCrowd()
{
    for (std::size_t i = 0; i < unusualEngines; ++i) {
        const EngineIdentity identity{fmt::format("r{}", i), "c", domainOf(i), 1};
        m_unusual.push_back(std::make_unique<UnusualEngine>(m_base.get(), m_ledger, identity, m_settings.seed + i));
        listUnusual(*m_unusual.back());
    }
    for (auto &node : m_nodes) {
        node->keepPorts();
        node->setLimits(m_settings.limits);
    }
    announce(m_settings.limits);
    m_memoryTimer.startEvery(memoryInterval);
}

void World::calmCrowdDown()
{
    for (auto &engine : m_unusual) {
        engine->calmDown();
    }
    for (auto &caller : m_callers) {
        caller->beUsual();
    }
}

void World::watchMemory()
{
    const auto limit = m_settings.limits.memoryMb;
    for (std::size_t i = 0; limit > 0 && i < m_nodes.size(); ++i) {
        const auto used = m_nodes[i]->residentMb();
        m_mostMemory = std::max(m_mostMemory, used);
        if (used > limit) {
            m_ledger.broken(
                fmt::format("node {} has {} MB, its limit is {}; its log is {}", i, used, limit, m_nodes[i]->log()));
            // It ends by its own fault, so what it serves is lost by it.
            m_nodes[i]->kill();
            startSoon(i);
        }
    }
}

void World::restartSoon(std::size_t index)
{
    auto &node = *m_nodes[index];
    disturbPaths(index, restartDelay);
    m_ledger.killed(base::monotonicNow());
    node.kill();
    startSoon(index);
}

void World::startSoon(std::size_t index)
{
    auto &node = *m_nodes[index];
    after(restartDelay, [&node] { node.started() ? void() : node.start(); });
}

void World::harmStart(const Fault &fault, std::size_t index)
{
    auto &node = *m_nodes[index];
    switch (fault.kind) {
    case FaultKind::RewriteSettings:
        node.writeSettings(1);
        return;
    case FaultKind::HalfWriteSettings:
        node.writeSettings(shareOf(fault));
        after(std::min<base::Duration>(fault.lasts, longestHalfSettings), [&node] { node.writeSettings(1); });
        return;
    case FaultKind::StartOnHalfSettings:
        disturbPaths(index, fault.lasts);
        restartSoon(index);
        node.writeSettingsAtStart(shareOf(fault));
        after(std::min<base::Duration>(fault.lasts, longestHalfSettings), [&node] {
            node.writeSettingsAtStart(1);
            node.writeSettings(1);
        });
        return;
    case FaultKind::OpenIdleConnections:
        openIdleConnections(index);
        return;
    default:
        takePort(fault, index);
        return;
    }
}

void World::openIdleConnections(std::size_t index)
{
    const auto &node = *m_nodes[index];
    const auto count = m_settings.limits.descriptors * 2;
    if (!node.ready || count == 0) {
        return;
    }
    disturbPaths(index, idleTime);
    auto held = std::make_shared<std::unique_ptr<IdleConnections>>(
        std::make_unique<IdleConnections>(m_base.get(), node.callers(), count));
    const auto before = node.waits();
    after(idleTime, [this, held, index, before, start = node.starts()] {
        held->reset();
        checkHandsBack(index, start, before);
    });
}

void World::checkHandsBack(std::size_t index, unsigned start, std::size_t waitsBefore)
{
    const auto &node = *m_nodes[index];
    const auto now = base::monotonicNow();
    const bool isSame = node.started() && node.starts() == start && !node.stopping();
    if (!isSame || !m_ledger.stops.calm(index, now - idleTime, now)) {
        return;
    }
    const auto waits = node.waits() - waitsBefore;
    if (waits < leastWaits) {
        m_ledger.broken(fmt::format(
            "node {} waited {} times in {} s beside too many connections: it does not hand back the processor",
            index,
            waits,
            idleTime.count()));
    }
}

double World::shareOf(const Fault &fault)
{
    constexpr unsigned shares = 100;
    return static_cast<double>(fault.target % shares) / shares;
}

void World::takePort(const Fault &fault, std::size_t index)
{
    const auto lasts = std::min<base::Duration>(fault.lasts, longestPortTaken);
    disturbPaths(index, lasts);
    m_nodes[index]->kill();
    const auto address = m_nodes[index]->portToTake(fault.target);
    m_takenPorts.push_back(std::make_unique<gateway::ListeningPort>(
        m_base.get(), address, [](evutil_socket_t socket) { evutil_closesocket(socket); }));
    after(lasts, [this, taken = m_takenPorts.size() - 1] { m_takenPorts[taken].reset(); });
    restartSoon(index);
}

} // namespace ibisfork::soak
