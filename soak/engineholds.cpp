#include "engineholds.h"

#include <fmt/format.h>

namespace ibisfork::soak {

std::string EngineHolds::take(base::Duration ttl)
{
    auto id = fmt::format("hold-{}", ++m_count);
    m_until[id] = base::monotonicNow() + ttl;
    return id;
}

bool EngineHolds::use(const std::string &id)
{
    const auto found = m_until.extract(id);
    return found && base::monotonicNow() < found.mapped();
}

} // namespace ibisfork::soak
