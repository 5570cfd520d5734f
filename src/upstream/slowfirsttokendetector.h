#pragma once

#include <cstdint>

#include <ibisfork/base/clock.h>

namespace ibisfork::upstream {

/// Detects outliers among the times to the first token of one upstream, which indicate a cold start.
class SlowFirstTokenDetector
{
public:
    /// Adds a sample; returns whether the sample is an outlier compared with the moving average.
    bool add(base::Duration elapsed);

private:
    double m_mean = 0;
    std::uint32_t m_count = 0;
};

} // namespace ibisfork::upstream
