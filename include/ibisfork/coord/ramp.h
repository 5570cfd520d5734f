#pragma once

#include <cstdint>

#include <ibisfork/base/clock.h>

namespace ibisfork::coord {

/// Concurrency limits of an upstream: requests at a time after a cold start and when warm, and the duration of the
/// linear increase from one to the other.
struct RampLimit
{
    std::uint32_t cold = 0;
    std::uint32_t warm = 0;
    base::Duration ramp{};
};

/// Computes the current concurrency limit of an upstream that warms up after a cold start. Unless its uptime is known,
/// the upstream is taken to have started cold when this node first saw it.
class Ramp
{
public:
    explicit Ramp(base::TimePoint firstSeen);

    /// Records that the known incarnation of the upstream had been running for at least @p uptime at @p at.
    void recordUptime(base::Duration uptime, base::TimePoint at);
    /// Restarts the warm-up at @p now; uptime before @p now no longer counts.
    void recordColdStart(base::TimePoint now);

    /// Number of requests that may run at the upstream at the same time at @p now.
    std::uint32_t allowed(const RampLimit &limit, base::TimePoint now) const;

private:
    /// Latest possible start of the warm-up.
    base::TimePoint m_warmUpStart;
    base::TimePoint m_lastColdStart;
};

} // namespace ibisfork::coord
