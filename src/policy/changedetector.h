#pragma once

#include <cstdint>

#include "policy/failurerates.h"

namespace ibisfork::policy {

/// Failure rates that a change detector distinguishes and the bound on its false alarms.
struct DetectorBounds
{
    FailureRates rates;
    /// Lower bound of the mean number of observations between two false alarms for a healthy version.
    double falseAlarmInterval = 1e6;
};

/// One-sided CUSUM test on a sequence of outcomes: detects a rise of the failure rate, also after a long healthy
/// period.
class ChangeDetector
{
public:
    explicit ChangeDetector(const DetectorBounds &bounds);

    /// Adds one outcome to the evidence.
    void observe(bool failed) { observe(failed, m_rates); }
    /// Adds one outcome that is to be judged by other rates than those given at first.
    void observe(bool failed, const FailureRates &rates) { observe(1, failed ? 1 : 0, rates); }
    /// Adds @p outcomes of which @p failures failed; the order in which they came does not matter.
    void observe(std::uint32_t outcomes, std::uint32_t failures, const FailureRates &rates);
    /// Whether the failure rate was found to be bad; never reset.
    bool alarmed() const { return m_alarmed; }
    /// Accumulated log-likelihood ratio (natural logarithm) in favour of the bad rate.
    double evidence() const { return m_evidence; }
    /// Value of evidence() at which the alarm is raised.
    double threshold() const { return m_threshold; }

private:
    FailureRates m_rates;
    double m_threshold;
    double m_evidence = 0.0;
    bool m_alarmed = false;
};

} // namespace ibisfork::policy
