#include "policy/changedetector.h"

#include <algorithm>
#include <cmath>

namespace ibisfork::policy {

// For a CUSUM of log-likelihood ratios clamped at zero, the mean time between false alarms is at least the exponential
// of the threshold, for any pair of rates (Lorden 1971).
ChangeDetector::ChangeDetector(const DetectorBounds &bounds)
    : m_rates(bounds.rates)
    , m_threshold(std::log(bounds.falseAlarmInterval))
{ }

void ChangeDetector::observe(std::uint32_t outcomes, std::uint32_t failures, const FailureRates &rates)
{
    const double added = failures * rates.evidenceOf(true) + (outcomes - failures) * rates.evidenceOf(false);
    m_evidence = std::max(0.0, m_evidence + added);
    m_alarmed = m_alarmed || m_evidence >= m_threshold;
}

} // namespace ibisfork::policy
