#include "gateway/rollouttracker.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

/// Share of requests sent to a new version during its trial; below the usual bound on exposure.
constexpr double trialShare = 0.08;
/// Fractions of the period at which the move begins, covers all requests, and is reported as completed. Responses still
/// outstanding at the old version end before completion. Between the first two, moveShare of the subjects are moved.
constexpr double moveStart = 0.5;
constexpr double moveEnd = 0.6;
constexpr double moveShare = 0.35;
constexpr double completeAt = 0.82;

/// A new version is rejected for its own failures if their rate is far above the old version's in the same time.
constexpr unsigned minFailures = 3;
constexpr double minFailedShare = 0.2;
constexpr double failureFactor = 3.0;
/// A new version is also rejected if its first bytes take several times as long as the old version's.
constexpr unsigned minTimedRuns = 5;
constexpr double slowFactor = 3.5;
constexpr double slowSlackSeconds = 0.15;

/// Maps @p subject to a stable fraction in [0, 1), the same at every node.
double fractionOf(const std::string &subject)
{
    constexpr std::uint64_t steps = 10000;
    return static_cast<double>(coord::rendezvousWeight("rollout", subject) % steps) / steps;
}

} // namespace

void VersionRuns::add(const RunOutcome &outcome)
{
    ++total;
    failed += outcome.failed ? 1 : 0;
    if (outcome.firstByte) {
        ++timed;
        firstByteSeconds += base::toSeconds(*outcome.firstByte);
    }
}

void RunCounts::add(const RunVerdict &verdict)
{
    good -= verdict.isRevised ? 1 : 0;
    switch (verdict.quality) {
    case RunQuality::Good:
        ++good;
        return;
    case RunQuality::Late:
        ++late;
        return;
    case RunQuality::Failed:
        ++failed;
        return;
    }
}

bool RolloutTracker::Rollout::hasStatus(RolloutState state) const
{
    return status && statusRow > orderRow && status->toVersion == order.toVersion && status->state == state;
}

void RolloutTracker::setOrder(const RolloutOrder &order, std::uint64_t orderRow, base::TimePoint now)
{
    auto &rollout = m_rollouts[order.service];
    if (rollout.orderRow == orderRow) {
        return;
    }
    if (rollout.orderRow != 0 && rollout.stopped()) {
        m_rejected[order.service].insert(rollout.order.toVersion);
    }
    m_rejected[order.service].erase(order.toVersion);
    Rollout next;
    next.status = rollout.status;
    next.statusRow = rollout.statusRow;
    next.start = rollout.start;
    next.order = order;
    next.orderRow = orderRow;
    next.startedAt = next.start.orderRow == orderRow ? next.start.startedAt : now;
    rollout = std::move(next);
    m_monitors[order.service].setTrialVersion(order.toVersion);
}

void RolloutTracker::setStart(const std::string &service, std::uint64_t orderRow, base::TimePoint startedAt)
{
    auto &rollout = m_rollouts[service];
    rollout.start = {orderRow, startedAt};
    if (rollout.orderRow == orderRow) {
        rollout.startedAt = std::min(rollout.startedAt, startedAt);
    }
}

std::uint64_t RolloutTracker::orderRow(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout == nullptr ? 0 : rollout->orderRow;
}

void RolloutTracker::removeOrder(const std::string &service)
{
    auto &rollout = m_rollouts[service];
    rollout.orderRow = 0;
    m_monitors[service].setTrialVersion({});
}

void RolloutTracker::setStatus(const std::string &service, const RolloutStatus &status, std::uint64_t statusRow)
{
    auto &rollout = m_rollouts[service];
    const bool ofThisOrder = status.toVersion == rollout.order.toVersion && statusRow > rollout.orderRow;
    if (status.state == RolloutState::Reverted && (ofThisOrder || rollout.order.toVersion != status.toVersion)) {
        m_rejected[service].insert(status.toVersion);
    }
    if (statusRow >= rollout.statusRow) {
        rollout.status = status;
        rollout.statusRow = statusRow;
    }
}

const RolloutTracker::Rollout *RolloutTracker::find(const std::string &service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() || found->second.orderRow == 0 ? nullptr : &found->second;
}

RolloutTracker::Rollout *RolloutTracker::find(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() || found->second.orderRow == 0 ? nullptr : &found->second;
}

double RolloutTracker::progress(const Rollout &rollout, base::TimePoint now)
{
    const auto period = std::max<base::Duration>(rollout.order.period, std::chrono::seconds(1));
    return base::toSeconds(now - rollout.startedAt) / base::toSeconds(period);
}

VersionPreference RolloutTracker::preferredVersion(const std::string &service,
                                                   const std::string &subject,
                                                   bool isSession,
                                                   base::TimePoint now) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return VersionPreference::Any;
    }
    if (rollout->hasStatus(RolloutState::Completed)) {
        return VersionPreference::New;
    }
    if (rollout->stopped()) {
        return VersionPreference::Old;
    }
    const auto done = progress(*rollout, now);
    if (isSession && done < moveStart) {
        return VersionPreference::Old;
    }
    const double share = done < moveStart ? trialShare : (done < moveEnd ? moveShare : 1.0);
    return fractionOf(subject) < share ? VersionPreference::New : VersionPreference::Old;
}

VersionPreference RolloutTracker::preferredRetryVersion(const std::string &service, const std::string &version) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return VersionPreference::Any;
    }
    if (rollout->hasStatus(RolloutState::Completed)) {
        return VersionPreference::New;
    }
    const bool onNew = version == rollout->order.toVersion && !rollout->stopped();
    return onNew ? VersionPreference::New : VersionPreference::Old;
}

std::vector<Engine *> RolloutTracker::permitted(const std::string &service,
                                                std::vector<Engine *> engines,
                                                VersionPreference preference) const
{
    const auto rejected = m_rejected.find(service);
    if (rejected != m_rejected.end()) {
        std::erase_if(engines,
                      [&](const Engine *engine) { return rejected->second.contains(engine->entry.softwareVersion); });
    }
    const auto *rollout = find(service);
    if (rollout == nullptr || preference == VersionPreference::Any) {
        return engines;
    }
    const auto &toVersion = rollout->order.toVersion;
    const bool wantNew = preference == VersionPreference::New;
    const auto isWanted = [&](const Engine *engine) {
        return (engine->entry.softwareVersion == toVersion) == wantNew;
    };
    std::vector<Engine *> wanted;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(wanted), isWanted);
    // A stopped version gets no requests even if no other engine is left. The trial share is optional: without engines
    // of the new version, the old ones serve it.
    const bool onlyWanted = !wantNew || rollout->hasStatus(RolloutState::Completed);
    return wanted.empty() && !onlyWanted ? engines : wanted;
}

void RolloutTracker::recordOutcome(const std::string &service,
                                   const std::string &version,
                                   const std::string &route,
                                   const RunOutcome &outcome)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second.orderRow == 0) {
        return;
    }
    auto &rollout = found->second;
    const bool isNew = version == rollout.order.toVersion;
    (isNew ? rollout.newRuns : rollout.oldRuns).add(outcome);
    (isNew ? rollout.newByRoute : rollout.oldByRoute)[route].add(outcome);
    recordSpeed(rollout, isNew, route, outcome);
    if (!rollout.stoppedLocally && !rollout.hasStatus(RolloutState::Completed) && evidenceAgainst(rollout)) {
        rollout.stoppedLocally = true;
    }
}

RunId RolloutTracker::recordSent(const std::string &service, const MonitoredRun &run, base::TimePoint now)
{
    if (auto *rollout = find(service)) {
        ++(run.version == rollout->order.toVersion ? rollout->newCounts : rollout->oldCounts).sent;
    }
    return m_monitors[service].recordSent(run, now);
}

void RolloutTracker::recordFirstByte(const std::string &service, RunId id, base::TimePoint now)
{
    apply(service, m_monitors[service].recordFirstByte(id, now));
}

void RolloutTracker::recordEnded(const std::string &service, RunId id, RunEnd end, base::TimePoint now)
{
    apply(service, m_monitors[service].recordEnded(id, end, now));
}

void RolloutTracker::judgeUnanswered(base::TimePoint now)
{
    for (auto &[service, monitor] : m_monitors) {
        for (const auto &verdict : monitor.judgeUnanswered(now)) {
            apply(service, verdict);
        }
    }
}

void RolloutTracker::apply(const std::string &service, const std::optional<RunVerdict> &verdict)
{
    auto *rollout = find(service);
    if (verdict && rollout != nullptr) {
        (verdict->run.version == rollout->order.toVersion ? rollout->newCounts : rollout->oldCounts).add(*verdict);
    }
}

void RolloutTracker::recordSpeed(Rollout &rollout, bool isNew, const std::string &route, const RunOutcome &outcome)
{
    auto &old = rollout.oldByModel[{route, outcome.model}];
    if (!isNew) {
        old.add(outcome);
    } else if (outcome.firstByte && old.timed >= minTimedRuns) {
        auto &slowness = rollout.slowness[route];
        ++slowness.timed;
        slowness.seconds += base::toSeconds(*outcome.firstByte);
        slowness.usualSeconds += old.meanFirstByte();
    }
}

bool RolloutTracker::isFailing(const VersionRuns &newRuns, const VersionRuns &oldRuns)
{
    return newRuns.failed >= minFailures && newRuns.failedShare() >= minFailedShare
        && newRuns.failedShare() >= failureFactor * oldRuns.failedShare();
}

bool RolloutTracker::isSlow(const Slowness &slowness)
{
    return slowness.timed >= minTimedRuns
        && slowness.seconds > slowFactor * slowness.usualSeconds + slowSlackSeconds * slowness.timed;
}

bool RolloutTracker::evidenceAgainst(const Rollout &rollout)
{
    for (const auto &[route, runs] : rollout.newByRoute) {
        const auto old = rollout.oldByRoute.find(route);
        if (isFailing(runs, old == rollout.oldByRoute.end() ? VersionRuns{} : old->second)) {
            return true;
        }
    }
    return std::any_of(
        rollout.slowness.begin(), rollout.slowness.end(), [](const auto &item) { return isSlow(item.second); });
}

std::optional<RolloutStatus> RolloutTracker::dueStatus(const std::string &service, base::TimePoint now) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr || rollout->hasStatus(RolloutState::Completed)
        || rollout->hasStatus(RolloutState::Reverted)) {
        return std::nullopt;
    }
    const auto &toVersion = rollout->order.toVersion;
    if (rollout->stoppedLocally) {
        return RolloutStatus{toVersion, RolloutState::Reverted};
    }
    if (progress(*rollout, now) >= completeAt) {
        return RolloutStatus{toVersion, RolloutState::Completed};
    }
    const bool isPublished = rollout->hasStatus(RolloutState::InProgress);
    return isPublished ? std::nullopt : std::optional(RolloutStatus{toVersion, RolloutState::InProgress});
}

std::vector<std::string> RolloutTracker::servicesWithOrders() const
{
    std::vector<std::string> services;
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout.orderRow != 0) {
            services.push_back(service);
        }
    }
    return services;
}

std::string RolloutTracker::evidence(const std::string &service) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return "none";
    }
    return fmt::format("new:{}/{}/{:.3f}s,old:{}/{}/{:.3f}s",
                       rollout->newRuns.failed,
                       rollout->newRuns.total,
                       rollout->newRuns.meanFirstByte(),
                       rollout->oldRuns.failed,
                       rollout->oldRuns.total,
                       rollout->oldRuns.meanFirstByte());
}

std::string RolloutTracker::runSummary(const std::string &service) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return "none";
    }
    const auto &old = rollout->oldCounts;
    const auto &next = rollout->newCounts;
    const auto monitor = m_monitors.find(service);
    const auto unjudged = monitor == m_monitors.end() ? 0 : monitor->second.unjudged(rollout->order.toVersion);
    return fmt::format("new:{}/{}/{}/{}/{},old:{}/-/{}/{}/{}",
                       next.sent,
                       unjudged,
                       next.good,
                       next.late,
                       next.failed,
                       old.sent,
                       old.good,
                       old.late,
                       old.failed);
}

} // namespace ibisfork::gateway
