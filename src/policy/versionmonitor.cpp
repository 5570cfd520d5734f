#include "policy/versionmonitor.h"

#include <fmt/format.h>

namespace ibisfork::policy {

namespace {

/// One false alarm per version in a million observations, divided evenly among its eight detectors.
constexpr double falseAlarmInterval = 8e6;

/// Failure rates of a healthy, a slightly bad and a clearly bad version for one signal.
struct SignalBounds
{
    HealthSignal signal;
    double healthyRate;
    double slightlyBadRate;
    double badRate;
};

constexpr std::array<SignalBounds, 4> signalBounds{{
    {HealthSignal::Answer, 0.02, 0.06, 0.5},
    {HealthSignal::Crash, 0.002, 0.02, 0.5},
    {HealthSignal::FirstToken, 0.05, 0.15, 0.5},
    {HealthSignal::Rating, 0.05, 0.10, 0.5},
}};

} // namespace

VersionMonitor::VersionMonitor()
{
    for (const auto &bounds : signalBounds) {
        m_signals.push_back({bounds.signal,
                             {ChangeDetector({{bounds.healthyRate, bounds.badRate}, falseAlarmInterval}),
                              ChangeDetector({{bounds.healthyRate, bounds.slightlyBadRate}, falseAlarmInterval})}});
    }
}

void VersionMonitor::observe(HealthSignal signal, bool failed)
{
    auto &entry = stateOf(signal);
    ++entry.observations;
    entry.failures += failed ? 1 : 0;
    for (auto &detector : entry.detectors) {
        detector.observe(failed);
        if (detector.alarmed() && m_verdict.empty()) {
            m_verdict = fmt::format(
                "{}: {} of {} failed", base::nameOf(healthSignalNames, signal), entry.failures, entry.observations);
        }
    }
}

std::uint32_t VersionMonitor::observations(HealthSignal signal) const
{
    for (const auto &entry : m_signals) {
        if (entry.signal == signal) {
            return entry.observations;
        }
    }
    return 0;
}

VersionMonitor::SignalState &VersionMonitor::stateOf(HealthSignal signal)
{
    return m_signals.at(static_cast<std::size_t>(signal));
}

} // namespace ibisfork::policy
