#include <fmt/format.h>

#include "world.h"

namespace ibisfork::soak {

std::vector<std::size_t> World::enginesOfService(const Fault &fault, std::size_t count) const
{
    const auto services = m_engines.size() / m_settings.enginesPerService;
    const auto first = fault.target % m_engines.size();
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back((first + i * services) % m_engines.size());
    }
    return chosen;
}

void World::hinderEngines(const Fault &fault)
{
    const auto now = base::monotonicNow();
    const auto every = m_settings.enginesPerService;
    // Several are two at least and not all.
    const auto several = std::min(every, 2 + fault.target / m_engines.size() % std::max<std::size_t>(every - 2, 1));
    m_ledger.hindrances.note(std::nullopt, now, now + fault.lasts);
    switch (fault.kind) {
    case FaultKind::PauseEngine:
        pauseEngines(enginesOfService(fault, 1), fault.lasts);
        return;
    case FaultKind::PauseSeveralEngines:
        pauseEngines(enginesOfService(fault, several), fault.lasts);
        return;
    case FaultKind::PauseService:
        pauseEngines(enginesOfService(fault, every), fault.lasts);
        return;
    case FaultKind::PauseBesideFull:
        fillEngines(enginesOfService(fault, every), fault.lasts);
        pauseEngines(enginesOfService(fault, 1), fault.lasts);
        return;
    default:
        // The remainder chooses the service, the rest how many of its engines.
        fillEngines(enginesOfService(fault, fault.target / m_engines.size() % 2 == 0 ? every : several), fault.lasts);
        return;
    }
}

void World::fillEngines(const std::vector<std::size_t> &indexes, base::Duration lasts)
{
    for (const auto index : indexes) {
        m_engines[index].engine->busyUntil(base::monotonicNow() + lasts);
    }
}

void World::pauseEngines(const std::vector<std::size_t> &indexes, base::Duration lasts)
{
    const auto now = base::monotonicNow();
    for (const auto index : indexes) {
        auto &engine = *m_engines[index].engine;
        engine.pause(lasts);
        m_ledger.pauses.note(engine.identity().id, now, now + lasts);
    }
}

} // namespace ibisfork::soak
