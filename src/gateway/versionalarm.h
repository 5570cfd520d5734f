#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "policy/changedetector.h"

namespace ibisfork::gateway {

/// Detects at one node, from the runs of one route, that a version has turned bad, also after many good runs.
///
/// Bad runs of a single engine among several are that engine's fault and raise no alarm. The more nodes there are, the
/// more evidence each of them needs; the newest runs of the others count towards it.
class VersionAlarm
{
public:
    VersionAlarm();

    /// Records that an engine runs requests, before any of them is judged.
    void recordEngine(const std::string &engineId) { m_engines.insert(engineId); }
    /// Records that the other nodes have judged @p judged runs in this step so far, @p bad of them bad.
    void observeOthers(std::uint32_t judged, std::uint32_t bad, const policy::FailureRates &rates);
    /// The other nodes count their runs from zero again.
    void beginStep();
    /// Records a run of this node. @p nodes: number of nodes that each have such an alarm.
    void observe(const std::string &engineId, bool bad, const policy::FailureRates &rates, unsigned nodes);
    bool raised() const { return m_raised; }

private:
    /// Evidence of this node's runs and of those of all others.
    policy::ChangeDetector m_own;
    policy::ChangeDetector m_others;
    /// Runs of the other nodes that m_others has taken in.
    std::uint32_t m_othersJudged = 0;
    std::uint32_t m_othersBad = 0;
    std::set<std::string> m_engines;
    /// Engines of the bad runs since the sum of this node was last at zero.
    std::set<std::string> m_badEngines;
    bool m_raised = false;
};

} // namespace ibisfork::gateway
