#include <ibisfork/fleet/rollout.h>

#include <ibisfork/coord/exposure.h>

namespace ibisfork::fleet {

namespace {

std::map<std::string, std::uint32_t> allowancesFor(const Config &config, const RolloutStep &step)
{
    if (step.cap == 0) {
        return {};
    }
    std::vector<std::string> incarnations;
    for (const auto &[node, member] : config.members) {
        incarnations.push_back(member.incarnation);
    }
    return coord::divideCap(step.cap, incarnations);
}

} // namespace

std::vector<RolloutStep> rolloutStepsOf(const Version &version)
{
    if (version.rolloutSteps.empty()) {
        return {{version.rolloutShare, version.exposureCap}};
    }
    return version.rolloutSteps;
}

Exposure exposureOf(const Config &config, const Version &version)
{
    const auto rollout = config.rollouts.find(version.id);
    if (rollout == config.rollouts.end()) {
        // Without a row no node has an allowance, so the version is capped at nothing until the first step is written.
        return {0.0, true, false, false};
    }
    if (rollout->second.state == RolloutState::Done) {
        return {1.0, false, false, true};
    }
    const auto steps = rolloutStepsOf(version);
    // An operator may have shortened the list since the row was written.
    const auto &step = steps[std::min<std::size_t>(rollout->second.step, steps.size() - 1)];
    return {step.share, step.cap > 0, rollout->second.state == RolloutState::Halted, false};
}

Rollout firstStep(const Config &config, const Version &version, std::uint32_t run)
{
    Rollout rollout;
    rollout.version = version.id;
    rollout.run = run;
    rollout.allowances = allowancesFor(config, rolloutStepsOf(version).front());
    return rollout;
}

Rollout nextStep(const Config &config, const Version &version, const Rollout &rollout)
{
    auto next = rollout;
    const auto steps = rolloutStepsOf(version);
    if (rollout.step + 1 >= steps.size()) {
        next.state = RolloutState::Done;
        next.allowances.clear();
        return next;
    }
    ++next.step;
    next.allowances = allowancesFor(config, steps[next.step]);
    return next;
}

Rollout halted(Rollout rollout, const std::string &evidence)
{
    rollout.state = RolloutState::Halted;
    rollout.allowances.clear();
    rollout.evidence = evidence;
    return rollout;
}

} // namespace ibisfork::fleet
