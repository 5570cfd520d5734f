#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Limit on retries at further upstreams, over all nodes.
struct ResendBound
{
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    /// Retries allowed in the window in addition to the ratio, by all nodes together.
    double extra = 10;
    /// Length of the sliding window.
    base::Duration window = std::chrono::seconds(10);
};

/// Retry budget of each service: counts requests and retries in a sliding window. A node stays within the ratio of its
/// own requests plus an equal share of the extra retries, so that all nodes together keep the limit without
/// coordination.
class ResendBudget
{
public:
    explicit ResendBudget(const ResendBound &bound)
        : m_bound(bound)
    { }

    /// What was counted is forgotten if the window has another length now.
    void setBound(const ResendBound &bound);
    /// Counts a request, which raises the budget of its service.
    void countRequest(const std::string &service, base::TimePoint now);
    /// Takes one retry from the budget; false if it is exhausted. @p nodes: number of nodes that share the extra
    /// retries.
    bool consume(const std::string &service, unsigned nodes, base::TimePoint now);

private:
    /// Number of buckets that the window is divided into. One more is kept, so that the buckets cover every time span
    /// of the window's length.
    static constexpr std::size_t bucketCount = 20;

    struct Window
    {
        std::array<std::uint32_t, bucketCount + 1> requests{};
        std::array<std::uint32_t, bucketCount + 1> resends{};
        std::int64_t newest = 0;
    };

    base::Duration bucketLength() const;
    Window &advance(const std::string &service, base::TimePoint now);

    ResendBound m_bound;
    std::map<std::string, Window> m_windows;
};

} // namespace ibisfork::gateway
