#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include <ibisfork/base/clock.h>

namespace ibisfork::hedging {

/// The times that the latest answers took.
class RecentTimes
{
public:
    static constexpr std::size_t capacity = 128;
    /// Fewer answers than this show nothing of the slowest ones.
    static constexpr std::size_t fewest = 20;

    void record(base::Duration time);
    /// The time within which @p share of the answers came, 0 to 1; nothing while there are too few.
    std::optional<base::Duration> quantile(double share) const;

private:
    std::array<base::Duration, capacity> m_times{};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
};

} // namespace ibisfork::hedging
