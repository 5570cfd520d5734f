#include "gateway/callerresults.h"

#include <utility>

#include "gateway/eventlog.h"

namespace ibisfork::gateway {

namespace {

constexpr std::chrono::milliseconds writeInterval{1000};

} // namespace

void CallerResults::record(const std::string &service, CallerResult result)
{
    const std::string name(base::nameOf(callerResultNames, result));
    m_metrics.counter("ibisfork_caller_results_total", {{"service", service}, {"result", name}}).add();
    ++m_counts[service].at(static_cast<std::size_t>(result));
}

void CallerResults::tick(base::TimePoint now)
{
    if (now - m_writtenAt < writeInterval) {
        return;
    }
    m_writtenAt = now;
    for (const auto &[service, counts] : std::exchange(m_counts, {})) {
        auto line = EventLog::state("caller_results");
        line.field("service", service);
        for (const auto &item : callerResultNames) {
            line.field(item.name, counts.at(static_cast<std::size_t>(item.value)));
        }
    }
}

} // namespace ibisfork::gateway
