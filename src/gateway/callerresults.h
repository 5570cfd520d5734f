#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>
#include <ibisfork/base/names.h>

namespace ibisfork::gateway {

/// What a caller of this node got for a request.
enum class CallerResult {
    Served,
    FailedAtEngine, ///< The engine's own failure, passed on.
    Refused, ///< Not run.
    Failed,
    CallerLeft,
};
inline constexpr std::array<base::Name<CallerResult>, 5> callerResultNames{{
    {CallerResult::Served, "served"},
    {CallerResult::FailedAtEngine, "failed_at_engine"},
    {CallerResult::Refused, "refused"},
    {CallerResult::Failed, "failed"},
    {CallerResult::CallerLeft, "caller_left"},
}};

/// Counts what callers of this node get, by service. Unlike the lines of single requests none is left out.
class CallerResults
{
public:
    explicit CallerResults(base::MetricsRegistry &metrics)
        : m_metrics(metrics)
    { }

    void record(const std::string &service, CallerResult result);
    /// Writes a log line for each service with results since the last ones were written. To be called a few times a
    /// second; lines are written once a second.
    void tick(base::TimePoint now);

private:
    using Counts = std::array<std::uint32_t, callerResultNames.size()>;

    base::MetricsRegistry &m_metrics;
    /// Since the last lines, by service.
    std::map<std::string, Counts> m_counts;
    base::TimePoint m_writtenAt{};
};

} // namespace ibisfork::gateway
