#pragma once

#include <map>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::soak {

/// Room that an engine has reserved for requests to come.
class EngineHolds
{
public:
    /// Reserves room until @p ttl is over; the name of the reservation.
    std::string take(base::Duration ttl);
    /// True if reservation @p id is there and has not expired; it is then used up.
    bool use(const std::string &id);
    void drop(const std::string &id) { m_until.erase(id); }

private:
    unsigned m_count = 0;
    std::map<std::string, base::TimePoint> m_until;
};

} // namespace ibisfork::soak
