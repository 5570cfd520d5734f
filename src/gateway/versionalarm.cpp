#include "gateway/versionalarm.h"

namespace ibisfork::gateway {

namespace {

/// Lower bound on the mean number of runs of a healthy version between two false alarms. Low, so that three bad runs in
/// a row suffice: the cost of a false alarm is a rollout that must be ordered again.
constexpr double falseAlarmInterval = 500;

} // namespace

VersionAlarm::VersionAlarm()
    : m_detector({{}, falseAlarmInterval})
{ }

void VersionAlarm::observe(const std::string &engineId, bool bad, const policy::FailureRates &rates)
{
    m_engines.insert(engineId);
    m_detector.observe(bad, rates);
    if (m_detector.evidence() == 0.0) {
        m_badEngines.clear();
    }
    if (bad) {
        m_badEngines.insert(engineId);
    }
    const bool oneOfSeveral = m_badEngines.size() == 1 && m_engines.size() > 1;
    m_raised = m_raised || (m_detector.evidence() >= m_detector.threshold() && !oneOfSeveral);
}

} // namespace ibisfork::gateway
