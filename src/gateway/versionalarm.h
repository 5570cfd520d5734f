#pragma once

#include <set>
#include <string>

#include "policy/changedetector.h"

namespace ibisfork::gateway {

/// Detects at one node, from the runs of one route, that a version has turned bad, also after many good runs.
///
/// Bad runs of a single engine among several are that engine's fault and raise no alarm.
class VersionAlarm
{
public:
    VersionAlarm();

    /// Records that an engine runs requests, before any of them is judged.
    void recordEngine(const std::string &engineId) { m_engines.insert(engineId); }
    void observe(const std::string &engineId, bool bad, const policy::FailureRates &rates);
    bool raised() const { return m_raised; }

private:
    policy::ChangeDetector m_detector;
    std::set<std::string> m_engines;
    /// Engines of the bad runs since the sum was last at zero.
    std::set<std::string> m_badEngines;
    bool m_raised = false;
};

} // namespace ibisfork::gateway
