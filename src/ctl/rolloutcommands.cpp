#include "ctl/rolloutcommands.h"

#include <iostream>

#include <fmt/format.h>

#include <ibisfork/fleet/rollout.h>
#include <ibisfork/fleet/rows.h>

#include "ctl/listing.h"
#include "ctl/submission.h"

namespace ibisfork::ctl {

namespace {

fleet::Version versionOf(const fleet::Config &config, const std::string &name)
{
    const auto version = config.versions.find(fleet::VersionId::parse(name));
    if (version == config.versions.end()) {
        throw UsageError(fmt::format("there is no version '{}'; 'version list' shows them", name));
    }
    return version->second;
}

fleet::Rollout rolloutOf(const fleet::Config &config, const std::string &name)
{
    const auto rollout = config.rollouts.find(fleet::VersionId::parse(name));
    if (rollout == config.rollouts.end()) {
        throw UsageError(fmt::format("'{}' is not being rolled out; 'rollout start' begins it", name));
    }
    return rollout->second;
}

coord::RowChange rowOf(const fleet::Rollout &rollout)
{
    return {fleet::rowprefix::rollout + rollout.version.text(), fleet::rolloutRow(rollout)};
}

std::string allowanceText(const fleet::Rollout &rollout)
{
    std::uint64_t allowed = 0;
    for (const auto &[incarnation, allowance] : rollout.allowances) {
        allowed += allowance;
    }
    return rollout.allowances.empty() ? "no cap" : fmt::format("{}", allowed);
}

} // namespace

int rolloutStart(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    auto config = fleet::configFromRows(held);
    auto version = versionOf(config, invocation.argument);
    version.state = fleet::VersionState::RollingOut;
    config.versions[version.id] = version;
    const auto earlier = config.rollouts.find(version.id);
    const auto run = earlier == config.rollouts.end() ? 1 : earlier->second.run + 1;
    return submit(invocation,
                  held.revision,
                  {{fleet::rowprefix::version + version.id.text(), fleet::versionRow(version)},
                   rowOf(fleet::firstStep(config, version, run))});
}

int rolloutStep(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    const auto rollout = rolloutOf(config, invocation.argument);
    if (rollout.state != fleet::RolloutState::Running) {
        throw UsageError(fmt::format("the roll-out is {}; 'rollout start' begins it again",
                                     base::nameOf(fleet::rolloutStateNames, rollout.state)));
    }
    const auto version = versionOf(config, invocation.argument);
    return submit(invocation, held.revision, {rowOf(fleet::nextStep(config, version, rollout))});
}

int rolloutHalt(const Invocation &invocation)
{
    if (invocation.reason.empty()) {
        throw UsageError("a written reason is required: --reason TEXT");
    }
    const auto held = readSnapshot(invocation);
    const auto rollout = rolloutOf(fleet::configFromRows(held), invocation.argument);
    return submit(invocation, held.revision, {rowOf(fleet::halted(rollout, invocation.reason))});
}

int rolloutStatus(const Invocation &invocation)
{
    Listing listing({"version", "state", "step", "steps", "share", "allowed", "evidence"});
    const auto config = fleet::configFromRows(readSnapshot(invocation));
    for (const auto &[id, rollout] : config.rollouts) {
        const auto version = config.versions.find(id);
        if (version == config.versions.end()) {
            continue;
        }
        listing.add({id.text(),
                     std::string(base::nameOf(fleet::rolloutStateNames, rollout.state)),
                     fmt::format("{}", rollout.step + 1),
                     fmt::format("{}", fleet::rolloutStepsOf(version->second).size()),
                     fmt::format("{}", fleet::exposureOf(config, version->second).share),
                     allowanceText(rollout),
                     rollout.evidence});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

} // namespace ibisfork::ctl
