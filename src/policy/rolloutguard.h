#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>
#include <ibisfork/coord/exposure.h>
#include <ibisfork/fleet/config.h>

#include "policy/steptest.h"
#include "policy/versionmonitor.h"

namespace ibisfork::policy {

/// Enforces the exposure limits of roll-outs on this node, stops a bad version at once, and computes the changes of the
/// fleet configuration that start, advance or halt roll-outs. Any node may submit these changes.
class RolloutGuard
{
public:
    /// @p node is the author of the changes; @p incarnation selects this node's share of the allowances.
    RolloutGuard(std::string node, std::string incarnation);

    /// Applies the configuration of a new revision.
    void update(const fleet::Config &config, base::TimePoint now);

    /// Whether this node may send another request to a version whose roll-out step is capped.
    bool mayExpose(const fleet::VersionId &version) const;
    /// Whether this node knows that the version is bad and must not use it, whatever the configuration says.
    bool isStopped(const fleet::VersionId &version) const;
    /// Whether the configuration has a roll-out that is not halted. A completed roll-out is monitored until its version
    /// is active.
    bool hasActiveRollouts() const;
    /// Counts a request sent to @p version against this node's allowance.
    void recordDispatch(const fleet::VersionId &version);
    /// Records one outcome of @p signal for a request handled by any node; returns whether the version is stopped
    /// because of it.
    bool observe(const fleet::VersionId &version, HealthSignal signal, bool failed);
    /// Stops @p version because of @p evidence, for example reported by a peer, in the current run of its roll-out.
    void stop(const fleet::VersionId &version, const std::string &evidence);

    /// Returns the changes due now, which start, advance or halt roll-outs. They must be submitted on condition that
    /// their rows have not changed since revision().
    std::vector<coord::Change> dueChanges(base::TimePoint now) const;
    /// Revision of the configuration on which dueChanges() is based.
    coord::Revision revision() const { return m_config.revision; }

private:
    struct MonitoredVersion
    {
        fleet::Rollout rollout;
        VersionMonitor monitor;
        base::TimePoint stepSince{};
        StepTest stepTest;
        std::string stopReason;
    };

    void updateRollout(const fleet::Config &config, const fleet::Rollout &rollout, base::TimePoint now);
    static std::string verdictOn(const MonitoredVersion &monitored);
    bool stepPassed(const MonitoredVersion &monitored, base::TimePoint now) const;
    coord::Change change(const fleet::Rollout &current, const fleet::Rollout &next, const std::string &reason) const;
    std::optional<coord::Change> dueChangeFor(const fleet::Version &version, base::TimePoint now) const;

    std::string m_node;
    coord::ExposureTracker m_exposure;
    fleet::Config m_config;
    std::map<fleet::VersionId, MonitoredVersion> m_versions;
};

} // namespace ibisfork::policy
