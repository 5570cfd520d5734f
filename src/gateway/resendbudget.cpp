#include "gateway/resendbudget.h"

#include <algorithm>
#include <numeric>

namespace ibisfork::gateway {

namespace {

/// Share of the bound that is used; the rest covers windows that don't align with the buckets counted here.
constexpr double usedShare = 0.85;
/// For a window without length.
constexpr std::chrono::milliseconds shortestBucket{1};

template<typename Counts>
double sum(const Counts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

void ResendBudget::setBound(const ResendBound &bound)
{
    if (bound.window != m_bound.window) {
        // Buckets of another length have other numbers.
        m_windows.clear();
    }
    m_bound = bound;
}

base::Duration ResendBudget::bucketLength() const
{
    return std::max<base::Duration>(shortestBucket, m_bound.window / bucketCount);
}

ResendBudget::Window &ResendBudget::advance(const std::string &service, base::TimePoint now)
{
    auto &window = m_windows[service];
    const auto current = static_cast<std::int64_t>(now.time_since_epoch() / bucketLength());
    const auto size = static_cast<std::int64_t>(window.requests.size());
    const auto steps = std::min(current - window.newest, size);
    for (std::int64_t i = 1; i <= steps; ++i) {
        const auto slot = static_cast<std::size_t>((current - steps + i) % size);
        window.requests.at(slot) = 0;
        window.resends.at(slot) = 0;
    }
    window.newest = std::max(window.newest, current);
    return window;
}

void ResendBudget::countRequest(const std::string &service, base::TimePoint now)
{
    auto &window = advance(service, now);
    ++window.requests.at(static_cast<std::size_t>(window.newest) % window.requests.size());
}

bool ResendBudget::consume(const std::string &service, unsigned nodes, base::TimePoint now)
{
    auto &window = advance(service, now);
    const double allowed = m_bound.ratio * sum(window.requests) + m_bound.extra / std::max(1U, nodes);
    if (sum(window.resends) + 1 > usedShare * allowed) {
        return false;
    }
    ++window.resends.at(static_cast<std::size_t>(window.newest) % window.resends.size());
    return true;
}

} // namespace ibisfork::gateway
