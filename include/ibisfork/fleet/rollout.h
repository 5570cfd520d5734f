#pragma once

#include <string>

#include <ibisfork/fleet/config.h>

namespace ibisfork::fleet {

/// What a version that is rolled out may be given at one revision.
struct Exposure
{
    double share = 0.0;
    bool capped = false;
    bool halted = false;
    /// The roll-out is done: the version is as any other.
    bool whole = false;
};

/// The steps of the roll-out of @p version; at least one.
std::vector<RolloutStep> rolloutStepsOf(const Version &version);

/// Nothing is given to a version that has no row of its roll-out yet.
Exposure exposureOf(const Config &config, const Version &version);

/// The row that begins the roll-out of @p version. @p run is one more than that of the run before.
Rollout firstStep(const Config &config, const Version &version, std::uint32_t run);

/// The row after the step that @p rollout is in: the next step, or done.
Rollout nextStep(const Config &config, const Version &version, const Rollout &rollout);

/// The row that halts @p rollout.
Rollout halted(Rollout rollout, const std::string &evidence);

} // namespace ibisfork::fleet
