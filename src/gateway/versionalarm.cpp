#include "gateway/versionalarm.h"

#include <algorithm>
#include <cmath>

namespace ibisfork::gateway {

namespace {

/// Lower bound on the mean number of runs of a healthy version between two false alarms. Low, so that three bad runs in
/// a row suffice: the cost of a false alarm is a rollout that must be ordered again.
constexpr double falseAlarmInterval = 500;

} // namespace

void VersionAlarm::observe(const std::string &engineId, bool bad, const policy::FailureRates &rates)
{
    m_engines.insert(engineId);
    m_evidence = std::max(0.0, m_evidence + rates.evidenceOf(bad));
    if (m_evidence == 0.0) {
        m_badEngines.clear();
    }
    if (bad) {
        m_badEngines.insert(engineId);
    }
    const bool oneOfSeveral = m_badEngines.size() == 1 && m_engines.size() > 1;
    m_raised = m_raised || (m_evidence >= std::log(falseAlarmInterval) && !oneOfSeveral);
}

} // namespace ibisfork::gateway
