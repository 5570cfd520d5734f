#pragma once

#include <vector>

#include <ibisfork/base/clock.h>

namespace ibisfork::bench {

/// Durations of one kind, for percentiles.
class Samples
{
public:
    void add(base::Duration duration) { m_seconds.push_back(base::toSeconds(duration)); }
    std::size_t count() const { return m_seconds.size(); }
    /// The value below which @p share of the samples lie, in milliseconds; 0 without samples.
    double percentileMs(double share) const;

private:
    std::vector<double> m_seconds;
};

} // namespace ibisfork::bench
