#include "policy/steptest.h"

#include <cmath>

namespace ibisfork::policy {

void StepTest::observe(std::uint32_t ratings, std::uint32_t failures)
{
    m_ratings += ratings;
    m_failures += failures;
    m_evidence += failures * m_rates.evidenceOf(true) + (ratings - failures) * m_rates.evidenceOf(false);
    m_bad = m_bad || m_evidence >= -std::log(m_bounds.falseAlarm);
}

bool StepTest::passed() const
{
    return !m_bad && m_evidence <= std::log(m_bounds.missedAlarm);
}

} // namespace ibisfork::policy
