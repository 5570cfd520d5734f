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
#include "policy/versionwatch.h"

namespace ibisfork::policy {

/// Holds the roll-outs of a node within their allowances, stops a bad version at once and says which changes of the
/// fleet's rows follow from that. Any node may make them.
class RolloutGuard
{
public:
    RolloutGuard(std::string node, std::string incarnation);

    /// Takes the configuration of a new revision.
    void update(const fleet::Config &config, base::TimePoint now);

    /// Whether a request may be given to a version whose step has a cap.
    bool mayExpose(const fleet::VersionId &version) const;
    /// Whether the version was found bad here and is not to be used, whatever the rows say.
    bool stopped(const fleet::VersionId &version) const;
    /// Whether the rows hold a roll-out that is not halted; one that is done is watched until its version is active.
    bool watchesAny() const;
    /// A request is given to @p version.
    void dispatched(const fleet::VersionId &version);
    /// Takes an outcome of a request at any node; returns whether the version is stopped by it.
    bool observe(const fleet::VersionId &version, Sign sign, bool failed);
    /// Takes a peer's word that @p version is bad in the run of its roll-out that this node knows.
    void stop(const fleet::VersionId &version, const std::string &evidence);

    /// The changes that are due: roll-outs to begin, to halt or to go on with. They may take effect only if no other
    /// change after revision() touched their rows.
    std::vector<coord::Change> due(base::TimePoint now) const;
    coord::Revision revision() const { return m_config.revision; }

private:
    struct Watched
    {
        fleet::Rollout rollout;
        VersionWatch watch;
        base::TimePoint stepSince{};
        StepTest stepTest;
        std::string stopped;
    };

    void updateOne(const fleet::Config &config, const fleet::Rollout &rollout, base::TimePoint now);
    static std::string verdictOn(const Watched &watched);
    bool stepPassed(const Watched &watched, base::TimePoint now) const;
    coord::Change change(const fleet::Rollout &held, const fleet::Rollout &next, const std::string &reason) const;
    std::optional<coord::Change> dueFor(const fleet::Version &version, base::TimePoint now) const;

    std::string m_node;
    coord::ExposureTracker m_book;
    fleet::Config m_config;
    std::map<fleet::VersionId, Watched> m_watched;
};

} // namespace ibisfork::policy
