#pragma once

#include <algorithm>
#include <numeric>
#include <vector>

namespace ibisfork::bench {

/// The value below which a share @p part of @p values lies; 0 if there are none.
inline double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

inline double meanOf(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

} // namespace ibisfork::bench
