#include <ibisfork/coord/ramp.h>

#include <algorithm>

namespace ibisfork::coord {

Ramp::Ramp(base::TimePoint firstSeen)
    : m_warmUpStart(firstSeen)
    , m_lastColdStart(base::TimePoint::min())
{ }

void Ramp::recordUptime(base::Duration uptime, base::TimePoint at)
{
    m_warmUpStart = std::max(std::min(m_warmUpStart, at - uptime), m_lastColdStart);
}

void Ramp::recordColdStart(base::TimePoint now)
{
    m_lastColdStart = std::max(m_lastColdStart, now);
    m_warmUpStart = std::max(m_warmUpStart, now);
}

std::uint32_t Ramp::allowed(const RampLimit &limit, base::TimePoint now) const
{
    if (limit.warm <= limit.cold) {
        return limit.warm;
    }
    if (now <= m_warmUpStart) {
        return limit.cold;
    }
    const auto warming = now - m_warmUpStart;
    if (warming >= limit.ramp) {
        return limit.warm;
    }
    const double share = base::toSeconds(warming) / base::toSeconds(limit.ramp);
    return limit.cold + static_cast<std::uint32_t>(share * (limit.warm - limit.cold));
}

} // namespace ibisfork::coord
