#include "policy/rolloutguard.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/fleet/rollout.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::policy {

namespace {

/// Minimum time at one step, so that delayed failures are seen before the next step.
constexpr std::chrono::seconds minStepTime{60};
/// Number of ratings needed to pass a step without a cap.
constexpr std::uint32_t uncappedStepRatings = 100;
/// Fraction of a capped step's requests that must be rated to pass the step.
constexpr double ratedFraction = 0.5;

std::string stepName(const fleet::Rollout &rollout)
{
    return fmt::format("{}/{}", rollout.run, rollout.step);
}

} // namespace

RolloutGuard::RolloutGuard(std::string node, std::string incarnation)
    : m_node(std::move(node))
    , m_exposure(std::move(incarnation))
{ }

void RolloutGuard::update(const fleet::Config &config, base::TimePoint now)
{
    m_config = config;
    std::erase_if(m_versions, [&](const auto &entry) { return !config.rollouts.contains(entry.first); });
    for (const auto &[id, rollout] : config.rollouts) {
        updateRollout(config, rollout, now);
    }
}

void RolloutGuard::updateRollout(const fleet::Config &config, const fleet::Rollout &rollout, base::TimePoint now)
{
    auto [entry, inserted] = m_versions.try_emplace(rollout.version);
    auto &monitored = entry->second;
    if (inserted || monitored.rollout.run != rollout.run) {
        // Only an operator can start another run of a roll-out, so findings of the previous run are discarded.
        monitored = MonitoredVersion{};
    }
    if (inserted || stepName(monitored.rollout) != stepName(rollout)) {
        monitored.stepSince = now;
        monitored.stepTest = {};
    }
    monitored.rollout = rollout;
    m_exposure.update(rollout.version.text(), stepName(rollout), rollout.allowances);
    if (!monitored.stopReason.empty() || !config.versions.contains(rollout.version)) {
        m_exposure.close(rollout.version.text());
    }
}

bool RolloutGuard::mayExpose(const fleet::VersionId &version) const
{
    return !isStopped(version) && m_exposure.hasAllowance(version.text());
}

bool RolloutGuard::isStopped(const fleet::VersionId &version) const
{
    const auto monitored = m_versions.find(version);
    return monitored != m_versions.end() && !monitored->second.stopReason.empty();
}

bool RolloutGuard::hasActiveRollouts() const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [](const auto &entry) {
        return entry.second.rollout.state != fleet::RolloutState::Halted;
    });
}

void RolloutGuard::recordDispatch(const fleet::VersionId &version)
{
    m_exposure.consume(version.text());
}

bool RolloutGuard::observe(const fleet::VersionId &version, HealthSignal signal, bool failed)
{
    const auto monitored = m_versions.find(version);
    if (monitored == m_versions.end() || monitored->second.rollout.state == fleet::RolloutState::Halted
        || !monitored->second.stopReason.empty()) {
        return false;
    }
    monitored->second.monitor.observe(signal, failed);
    if (signal == HealthSignal::Rating) {
        monitored->second.stepTest.observe(failed);
    }
    const auto verdict = verdictOn(monitored->second);
    if (!verdict.empty()) {
        stop(version, verdict);
    }
    return !verdict.empty();
}

std::string RolloutGuard::verdictOn(const MonitoredVersion &monitored)
{
    if (monitored.rollout.state == fleet::RolloutState::Running && monitored.stepTest.bad()) {
        return fmt::format(
            "ratings of a step: {} of {} failed", monitored.stepTest.failures(), monitored.stepTest.ratings());
    }
    return monitored.monitor.verdict();
}

void RolloutGuard::stop(const fleet::VersionId &version, const std::string &evidence)
{
    const auto monitored = m_versions.find(version);
    if (monitored != m_versions.end() && monitored->second.stopReason.empty()) {
        monitored->second.stopReason = evidence;
        m_exposure.close(version.text());
    }
}

std::vector<coord::Change> RolloutGuard::dueChanges(base::TimePoint now) const
{
    std::vector<coord::Change> changes;
    for (const auto &[id, version] : m_config.versions) {
        if (auto change = dueChangeFor(version, now)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

std::optional<coord::Change> RolloutGuard::dueChangeFor(const fleet::Version &version, base::TimePoint now) const
{
    if (version.state != fleet::VersionState::RollingOut) {
        return std::nullopt;
    }
    const auto entry = m_versions.find(version.id);
    if (entry == m_versions.end()) {
        return change({}, fleet::firstStep(m_config, version, m_config.revision), "roll-out begins");
    }
    const auto &monitored = entry->second;
    if (monitored.rollout.state == fleet::RolloutState::Halted) {
        return std::nullopt;
    }
    if (!monitored.stopReason.empty()) {
        return change(monitored.rollout, fleet::halted(monitored.rollout, monitored.stopReason), monitored.stopReason);
    }
    if (monitored.rollout.state == fleet::RolloutState::Running && stepPassed(monitored, now)) {
        return change(monitored.rollout, fleet::nextStep(m_config, version, monitored.rollout), "step passed");
    }
    return std::nullopt;
}

bool RolloutGuard::stepPassed(const MonitoredVersion &monitored, base::TimePoint now) const
{
    const auto version = m_config.versions.find(monitored.rollout.version);
    const auto steps = fleet::rolloutStepsOf(version->second);
    const auto &step = steps[std::min<std::size_t>(monitored.rollout.step, steps.size() - 1)];
    const auto requiredRatings
        = step.cap > 0 ? std::max(1U, static_cast<std::uint32_t>(step.cap * ratedFraction)) : uncappedStepRatings;
    return now - monitored.stepSince >= minStepTime && monitored.stepTest.ratings() >= requiredRatings
        && monitored.stepTest.passed();
}

// Changes are idempotent by id, and the id contains the step that the change leaves and the revision on which it is
// based. If two nodes leave the same step, whether to advance or to halt, only the first change takes effect.
coord::Change RolloutGuard::change(const fleet::Rollout &current,
                                   const fleet::Rollout &next,
                                   const std::string &reason) const
{
    const auto name = next.version.text();
    const bool isFirst = current.version.model.empty();
    coord::Change change;
    change.id = fmt::format(
        "rollout-{}-after-{}-at-{}", name, isFirst ? std::string("none") : stepName(current), m_config.revision);
    change.author = m_node;
    change.reason = reason;
    change.rows = {{fleet::rowprefix::rollout + name, fleet::rolloutRow(next)}};
    return change;
}

} // namespace ibisfork::policy
