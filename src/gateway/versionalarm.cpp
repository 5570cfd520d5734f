#include "gateway/versionalarm.h"

#include <algorithm>
#include <cmath>

#include "gateway/smallfleet.h"

namespace ibisfork::gateway {

namespace {

/// Lower bound on the mean number of a node's runs of a healthy version between two false alarms, at a node of a small
/// fleet. Low, so that three bad runs in a row suffice: the cost of a false alarm is a rollout that must be ordered
/// again.
constexpr double falseAlarmInterval = 500;

/// Evidence that each of @p nodes needs beyond the threshold of a small fleet, so that all of them together raise no
/// more false alarms than a small fleet does.
double addedThreshold(unsigned nodes)
{
    // Each of two independent sums is above x by chance with a probability of at most exp(-x). Their total exceeds a
    // threshold by x with up to 1 + x times that, since both may contribute any part of it.
    const double fleets = smallFleetsIn(nodes);
    return std::log(fleets * (1.0 + std::log(fleets)));
}

} // namespace

VersionAlarm::VersionAlarm()
    : m_own({{}, falseAlarmInterval})
    , m_others({{}, falseAlarmInterval})
{ }

void VersionAlarm::observeOthers(std::uint32_t judged, std::uint32_t bad, const policy::FailureRates &rates)
{
    if (judged < m_othersJudged) {
        // Some nodes are not heard from at present; what they told has been counted.
        return;
    }
    const auto newlyBad = bad - std::min(bad, m_othersBad);
    // A run judged good before may be revised.
    const auto newlyJudged = std::max(judged - m_othersJudged, newlyBad);
    m_others.observe(newlyJudged, newlyBad, rates);
    m_othersJudged = judged;
    m_othersBad = std::max(bad, m_othersBad);
}

void VersionAlarm::beginStep()
{
    m_othersJudged = 0;
    m_othersBad = 0;
}

void VersionAlarm::observe(const std::string &engineId, bool bad, const policy::FailureRates &rates, unsigned nodes)
{
    m_engines.insert(engineId);
    m_own.observe(bad, rates);
    if (m_own.evidence() == 0.0) {
        m_badEngines.clear();
    }
    if (bad) {
        m_badEngines.insert(engineId);
    }
    const bool oneOfSeveral = m_badEngines.size() == 1 && m_engines.size() > 1;
    const bool ownShowsIt = m_own.evidence() >= m_own.threshold() && !oneOfSeveral;
    // The others count at the time of a run of this node only: at some other time their sum may be high by chance.
    const double total = m_own.evidence() + m_others.evidence();
    m_raised = m_raised || (ownShowsIt && total >= m_own.threshold() + addedThreshold(nodes));
}

} // namespace ibisfork::gateway
