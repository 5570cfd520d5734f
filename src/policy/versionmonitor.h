#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>

#include "policy/changedetector.h"

namespace ibisfork::policy {

/// Health signals of a version: request errors, engine crashes, late first tokens and poor ratings.
enum class HealthSignal { Answer, Crash, FirstToken, Rating };
inline constexpr std::array<base::Name<HealthSignal>, 4> healthSignalNames{{
    {HealthSignal::Answer, "errors"},
    {HealthSignal::Crash, "crashes"},
    {HealthSignal::FirstToken, "first-token"},
    {HealthSignal::Rating, "ratings"},
}};

/// Monitors the outcomes of one version during its roll-out. Each signal has two detectors: one for a clearly bad
/// version, which needs few observations, and one for a slightly bad version.
class VersionMonitor
{
public:
    VersionMonitor();

    /// Records one outcome of @p signal.
    void observe(HealthSignal signal, bool failed);
    /// Reason why the version is bad, or an empty string.
    const std::string &verdict() const { return m_verdict; }
    /// Number of outcomes recorded for @p signal.
    std::uint32_t observations(HealthSignal signal) const;

private:
    struct SignalState
    {
        HealthSignal signal;
        std::vector<ChangeDetector> detectors;
        std::uint32_t failures = 0;
        std::uint32_t observations = 0;
    };

    SignalState &stateOf(HealthSignal signal);

    std::vector<SignalState> m_signals;
    std::string m_verdict;
};

} // namespace ibisfork::policy
