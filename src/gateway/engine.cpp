#include "gateway/engine.h"

namespace ibisfork::gateway {

bool EngineEntry::isUnchangedIn(const EngineEntry &other) const
{
    const bool same = id == other.id && service == other.service && address.text() == other.address.text()
        && failureDomain == other.failureDomain && softwareVersion == other.softwareVersion && slots == other.slots
        && draining == other.draining && startTimeMs == other.startTimeMs;
    return same && other.coldLeft <= coldLeft;
}

} // namespace ibisfork::gateway
