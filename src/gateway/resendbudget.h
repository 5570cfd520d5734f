#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Bound on sending requests to further upstreams, over all nodes.
struct ResendBound
{
    /// Further sends allowed for each request in the window.
    double ratio = 0.2;
    /// Further sends allowed besides, by all nodes together.
    double extra = 10;
    base::Duration window = std::chrono::seconds(10);
};

/// Counts requests and further sends of each service in a sliding window. A node keeps within the ratio of its own
/// requests and its share of the extra, so that all together keep the bound without talking.
class ResendBudget
{
public:
    explicit ResendBudget(const ResendBound &bound)
        : m_bound(bound)
    { }

    void setBound(const ResendBound &bound) { m_bound = bound; }
    void countRequest(const std::string &service, base::TimePoint now);
    /// Takes one further send; false if there is none left. @p nodes share the extra.
    bool take(const std::string &service, unsigned nodes, base::TimePoint now);

private:
    /// The window is longer than it must be by one part, so that it covers every span of its length.
    static constexpr std::size_t parts = 20;

    struct Window
    {
        std::array<std::uint32_t, parts + 1> requests{};
        std::array<std::uint32_t, parts + 1> resends{};
        std::int64_t newest = 0;
    };

    Window &advance(const std::string &service, base::TimePoint now);

    ResendBound m_bound;
    std::map<std::string, Window> m_windows;
};

} // namespace ibisfork::gateway
