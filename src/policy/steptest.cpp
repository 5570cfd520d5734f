#include "policy/steptest.h"

#include <cmath>

namespace ibisfork::policy {

namespace {

constexpr double healthyRate = 0.05;
constexpr double badRate = 0.5;
/// Bound on the probability that the test of one step ever finds a healthy version bad, by Ville's inequality on the
/// likelihood ratio.
constexpr double falseAlarmProbability = 1e-3;
/// Bound on the probability that a bad version ever passes the test.
constexpr double missedAlarmProbability = 1e-2;

} // namespace

void StepTest::observe(bool failed)
{
    ++m_ratings;
    m_failures += failed ? 1 : 0;
    m_evidence += failed ? std::log(badRate / healthyRate) : std::log((1.0 - badRate) / (1.0 - healthyRate));
    m_bad = m_bad || m_evidence >= -std::log(falseAlarmProbability);
}

bool StepTest::passed() const
{
    return !m_bad && m_evidence <= std::log(missedAlarmProbability);
}

} // namespace ibisfork::policy
