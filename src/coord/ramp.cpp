#include <ibisfork/coord/ramp.h>

#include <algorithm>

namespace ibisfork::coord {

Ramp::Ramp(base::TimePoint firstSeen)
    : m_since(firstSeen)
    , m_lastColdStart(base::TimePoint::min())
{ }

void Ramp::noteUptime(base::Duration uptime, base::TimePoint at)
{
    m_since = std::max(std::min(m_since, at - uptime), m_lastColdStart);
}

void Ramp::noteColdStart(base::TimePoint now)
{
    m_lastColdStart = std::max(m_lastColdStart, now);
    m_since = std::max(m_since, now);
}

std::uint32_t Ramp::allowed(const RampLimit &limit, base::TimePoint now) const
{
    if (limit.warm <= limit.cold) {
        return limit.warm;
    }
    if (now <= m_since) {
        return limit.cold;
    }
    const auto warming = now - m_since;
    if (warming >= limit.ramp) {
        return limit.warm;
    }
    const double share = base::toSeconds(warming) / base::toSeconds(limit.ramp);
    return limit.cold + static_cast<std::uint32_t>(share * (limit.warm - limit.cold));
}

} // namespace ibisfork::coord
