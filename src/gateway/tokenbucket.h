#pragma once

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Limits a rate and lets some uses follow each other at once.
class TokenBucket
{
public:
    /// @p burst: uses at once, at most; all of them may be made at the start.
    explicit TokenBucket(double burst);

    /// Takes one use; false if none is left. @p perSecond: rate since the last call.
    bool consume(base::TimePoint now, double perSecond);

private:
    double m_burst;
    double m_left;
    base::TimePoint m_last{};
};

} // namespace ibisfork::gateway
