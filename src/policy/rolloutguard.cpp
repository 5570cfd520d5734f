#include "policy/rolloutguard.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/fleet/rollout.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::policy {

namespace {

/// Minimum time at one step, so that delayed failures are seen before the next step.
constexpr std::chrono::seconds stepDwell{60};
/// Number of ratings needed to pass a step without a cap.
constexpr std::uint32_t ratingsOfAnOpenStep = 100;
/// Fraction of a capped step's requests that must be rated to pass the step.
constexpr double ratedPart = 0.5;

std::string stepName(const fleet::Rollout &rollout)
{
    return fmt::format("{}/{}", rollout.run, rollout.step);
}

} // namespace

RolloutGuard::RolloutGuard(std::string node, std::string incarnation)
    : m_node(std::move(node))
    , m_book(std::move(incarnation))
{ }

void RolloutGuard::update(const fleet::Config &config, base::TimePoint now)
{
    m_config = config;
    std::erase_if(m_watched, [&](const auto &entry) { return !config.rollouts.contains(entry.first); });
    for (const auto &[id, rollout] : config.rollouts) {
        updateOne(config, rollout, now);
    }
}

void RolloutGuard::updateOne(const fleet::Config &config, const fleet::Rollout &rollout, base::TimePoint now)
{
    auto [entry, fresh] = m_watched.try_emplace(rollout.version);
    auto &watched = entry->second;
    if (fresh || watched.rollout.run != rollout.run) {
        // Only an operator can start another run of a roll-out, so findings of the previous run are discarded.
        watched = Watched{};
    }
    if (fresh || stepName(watched.rollout) != stepName(rollout)) {
        watched.stepSince = now;
        watched.stepTest = {};
    }
    watched.rollout = rollout;
    m_book.update(rollout.version.text(), stepName(rollout), rollout.allowances);
    if (!watched.stopped.empty() || !config.versions.contains(rollout.version)) {
        m_book.close(rollout.version.text());
    }
}

bool RolloutGuard::mayExpose(const fleet::VersionId &version) const
{
    return !isStopped(version) && m_book.mayTake(version.text());
}

bool RolloutGuard::isStopped(const fleet::VersionId &version) const
{
    const auto watched = m_watched.find(version);
    return watched != m_watched.end() && !watched->second.stopped.empty();
}

bool RolloutGuard::hasActiveRollouts() const
{
    return std::any_of(m_watched.begin(), m_watched.end(), [](const auto &entry) {
        return entry.second.rollout.state != fleet::RolloutState::Halted;
    });
}

void RolloutGuard::recordDispatch(const fleet::VersionId &version)
{
    m_book.take(version.text());
}

bool RolloutGuard::observe(const fleet::VersionId &version, HealthSignal sign, bool failed)
{
    const auto watched = m_watched.find(version);
    if (watched == m_watched.end() || watched->second.rollout.state == fleet::RolloutState::Halted
        || !watched->second.stopped.empty()) {
        return false;
    }
    watched->second.watch.observe(sign, failed);
    if (sign == HealthSignal::Rating) {
        watched->second.stepTest.observe(failed);
    }
    const auto verdict = verdictOn(watched->second);
    if (!verdict.empty()) {
        stop(version, verdict);
    }
    return !verdict.empty();
}

std::string RolloutGuard::verdictOn(const Watched &watched)
{
    if (watched.rollout.state == fleet::RolloutState::Running && watched.stepTest.bad()) {
        return fmt::format(
            "ratings of a step: {} of {} failed", watched.stepTest.failures(), watched.stepTest.ratings());
    }
    return watched.watch.verdict();
}

void RolloutGuard::stop(const fleet::VersionId &version, const std::string &evidence)
{
    const auto watched = m_watched.find(version);
    if (watched != m_watched.end() && watched->second.stopped.empty()) {
        watched->second.stopped = evidence;
        m_book.close(version.text());
    }
}

std::vector<coord::Change> RolloutGuard::dueChanges(base::TimePoint now) const
{
    std::vector<coord::Change> changes;
    for (const auto &[id, version] : m_config.versions) {
        if (auto change = dueFor(version, now)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

std::optional<coord::Change> RolloutGuard::dueFor(const fleet::Version &version, base::TimePoint now) const
{
    if (version.state != fleet::VersionState::RollingOut) {
        return std::nullopt;
    }
    const auto entry = m_watched.find(version.id);
    if (entry == m_watched.end()) {
        return change({}, fleet::firstStep(m_config, version, m_config.revision), "roll-out begins");
    }
    const auto &watched = entry->second;
    if (watched.rollout.state == fleet::RolloutState::Halted) {
        return std::nullopt;
    }
    if (!watched.stopped.empty()) {
        return change(watched.rollout, fleet::halted(watched.rollout, watched.stopped), watched.stopped);
    }
    if (watched.rollout.state == fleet::RolloutState::Running && stepPassed(watched, now)) {
        return change(watched.rollout, fleet::nextStep(m_config, version, watched.rollout), "step passed");
    }
    return std::nullopt;
}

bool RolloutGuard::stepPassed(const Watched &watched, base::TimePoint now) const
{
    const auto version = m_config.versions.find(watched.rollout.version);
    const auto steps = fleet::rolloutStepsOf(version->second);
    const auto &step = steps[std::min<std::size_t>(watched.rollout.step, steps.size() - 1)];
    const auto wanted
        = step.cap > 0 ? std::max(1U, static_cast<std::uint32_t>(step.cap * ratedPart)) : ratingsOfAnOpenStep;
    return now - watched.stepSince >= stepDwell && watched.stepTest.ratings() >= wanted && watched.stepTest.passed();
}

// Changes are idempotent by id, and the id contains the step that the change leaves and the revision on which it is
// based. If two nodes leave the same step, whether to advance or to halt, only the first change takes effect.
coord::Change RolloutGuard::change(const fleet::Rollout &held,
                                   const fleet::Rollout &next,
                                   const std::string &reason) const
{
    const auto name = next.version.text();
    const bool begins = held.version.model.empty();
    coord::Change change;
    change.id = fmt::format(
        "rollout-{}-after-{}-at-{}", name, begins ? std::string("none") : stepName(held), m_config.revision);
    change.author = m_node;
    change.reason = reason;
    change.rows = {{fleet::rowprefix::rollout + name, fleet::rolloutRow(next)}};
    return change;
}

} // namespace ibisfork::policy
