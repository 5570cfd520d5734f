#include "load/samples.h"

#include <algorithm>
#include <cmath>

namespace ibisfork::bench {

namespace {

constexpr double millisecondsPerSecond = 1000.0;

} // namespace

double Samples::percentileMs(double share) const
{
    if (m_seconds.empty()) {
        return 0.0;
    }
    auto seconds = m_seconds;
    const auto rank = std::ceil(share * static_cast<double>(seconds.size()));
    const auto index = std::min(seconds.size() - 1, static_cast<std::size_t>(std::max(rank - 1.0, 0.0)));
    std::nth_element(seconds.begin(), seconds.begin() + static_cast<std::ptrdiff_t>(index), seconds.end());
    return seconds[index] * millisecondsPerSecond;
}

} // namespace ibisfork::bench
