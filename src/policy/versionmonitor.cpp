#include "policy/versionmonitor.h"

#include <fmt/format.h>

namespace ibisfork::policy {

namespace {

/// One false alarm per version in a million observations, divided evenly among its eight detectors.
constexpr double falseAlarmInterval = 8e6;

struct SignBounds
{
    HealthSignal sign;
    double soundRate;
    double slightlyBadRate;
    double badRate;
};

constexpr std::array<SignBounds, 4> signBounds{{
    {HealthSignal::Answer, 0.02, 0.06, 0.5},
    {HealthSignal::Crash, 0.002, 0.02, 0.5},
    {HealthSignal::FirstToken, 0.05, 0.15, 0.5},
    {HealthSignal::Rating, 0.05, 0.10, 0.5},
}};

} // namespace

VersionMonitor::VersionMonitor()
{
    for (const auto &bounds : signBounds) {
        m_signs.push_back({bounds.sign,
                           {ChangeDetector({bounds.soundRate, bounds.badRate, falseAlarmInterval}),
                            ChangeDetector({bounds.soundRate, bounds.slightlyBadRate, falseAlarmInterval})}});
    }
}

void VersionMonitor::observe(HealthSignal sign, bool failed)
{
    auto &entry = watched(sign);
    ++entry.observations;
    entry.failures += failed ? 1 : 0;
    for (auto &detector : entry.detectors) {
        detector.observe(failed);
        if (detector.alarmed() && m_verdict.empty()) {
            m_verdict = fmt::format(
                "{}: {} of {} failed", base::nameOf(healthSignalNames, sign), entry.failures, entry.observations);
        }
    }
}

std::uint32_t VersionMonitor::observations(HealthSignal sign) const
{
    for (const auto &entry : m_signs) {
        if (entry.sign == sign) {
            return entry.observations;
        }
    }
    return 0;
}

VersionMonitor::Watched &VersionMonitor::watched(HealthSignal sign)
{
    return m_signs.at(static_cast<std::size_t>(sign));
}

} // namespace ibisfork::policy
