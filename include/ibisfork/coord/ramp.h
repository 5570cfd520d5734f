#pragma once

#include <cstdint>

#include <ibisfork/base/clock.h>

namespace ibisfork::coord {

/// What an upstream bears cold and warm, and the time from one to the other.
struct RampLimit
{
    std::uint32_t cold = 0;
    std::uint32_t warm = 0;
    base::Duration ramp{};
};

/// What an upstream bears now, as far as this node has evidence. Without evidence it is cold.
class Ramp
{
public:
    explicit Ramp(base::TimePoint firstSeen);

    /// Notes that the upstream had run for at least @p uptime at @p at, in the incarnation that is known.
    void sawUptime(base::Duration uptime, base::TimePoint at);
    /// Puts the upstream back to its cold limit; older evidence of being warm no longer counts.
    void sawColdStart(base::TimePoint now);

    std::uint32_t allowed(const RampLimit &limit, base::TimePoint now) const;

private:
    /// The upstream has been warming up since then, at the latest.
    base::TimePoint m_since;
    base::TimePoint m_lastColdStart;
};

} // namespace ibisfork::coord
