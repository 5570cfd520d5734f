#include "hedging/recenttimes.h"

#include <algorithm>

namespace ibisfork::hedging {

void RecentTimes::record(base::Duration time)
{
    m_times[m_next] = time;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
}

std::optional<base::Duration> RecentTimes::quantile(double share) const
{
    if (m_count < fewest) {
        return std::nullopt;
    }
    auto times = m_times;
    const auto end = times.begin() + static_cast<std::ptrdiff_t>(m_count);
    const auto rank = static_cast<std::size_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(m_count - 1));
    const auto wanted = times.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(times.begin(), wanted, end);
    return *wanted;
}

} // namespace ibisfork::hedging
