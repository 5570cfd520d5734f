#include "gateway/rollouttracker.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

/// Share of the requests without a session that go to a new version during its trial.
constexpr double trialShare = 0.11;
/// Share of the sessions and of the other requests in the partial step, at most.
constexpr double partialShare = 0.35;
/// A rollout completes at this fraction of the period at the earliest, and not before drainFraction of the period has
/// passed in the full step: the old engines stop at completion, so their responses must have ended by then.
constexpr double completeAt = 0.82;
constexpr double drainFraction = 0.15;
/// A rollout that has not completed at this fraction of the period is reverted.
constexpr double giveUpAt = 0.97;
/// A full step that begins after this fraction of the period is too late for the rollout to complete.
constexpr double latestFullStep = giveUpAt - drainFraction;
/// A rollout without a time for its full step is reverted at this fraction of the period: it can't complete any more,
/// and a time that was written in time is known to all nodes by then.
constexpr double giveUpWithoutFullStepAt = 0.87;
/// Fraction of the exposure bound that nodes use; the rest covers retries and nodes that restart.
constexpr double usedExposure = 2.0 / 3.0;

/// Longest time between updates of a node that runs, also of a slow one.
constexpr std::chrono::milliseconds maxUpdateGap{1000};

/// Maps @p subject to a stable fraction in [0, 1), the same at every node.
double fractionOf(const std::string &subject)
{
    constexpr std::uint64_t steps = 10000;
    return static_cast<double>(coord::rendezvousWeight("rollout", subject) % steps) / steps;
}

/// Share of the requests without a session.
double requestShare(RolloutStep step)
{
    switch (step) {
    case RolloutStep::Trial:
        return trialShare;
    case RolloutStep::Partial:
        return partialShare;
    case RolloutStep::Full:
        return 1.0;
    }
    return 0.0;
}

/// Share of the requests with a session. It neither follows a node's allowance nor falls, so that no session goes back;
/// from the begin of the partial step to giveUpWithoutFullStepAt it keeps the share of @p bound.
double sessionShare(RolloutStep step, const ExposureBound &bound)
{
    switch (step) {
    case RolloutStep::Trial:
        return 0.0;
    case RolloutStep::Partial:
        return std::min(partialShare, bound.share / (giveUpWithoutFullStepAt - Rollout::partialStart));
    case RolloutStep::Full:
        return 1.0;
    }
    return 0.0;
}

} // namespace

void RolloutTracker::setOrder(const RolloutOrder &order, RowVersion orderRow, base::TimePoint now, bool mayBeEarlier)
{
    auto &rollout = m_rollouts[order.service];
    if (rollout.orderRow == orderRow) {
        return;
    }
    if (rollout.isRepeatedBy(order, orderRow, now)) {
        rollout.repeatAs(orderRow);
        return;
    }
    auto &rejected = m_rejected[order.service];
    if (rollout.orderRow != RowVersion() && rollout.stopped()) {
        rejected.insert(rollout.order.toVersion);
    }
    const bool staysRejected = mayBeEarlier && rejected.contains(order.toVersion);
    Rollout next;
    if (staysRejected) {
        next.stopReason = "rejected_before";
    } else {
        rejected.erase(order.toVersion);
    }
    next.status = rollout.status;
    next.statusRow = rollout.statusRow;
    next.plan = rollout.plan;
    next.storedPlan = rollout.storedPlan;
    next.peers = rollout.peers;
    next.fleet = rollout.fleet;
    next.order = order;
    next.orderRow = orderRow;
    next.evidence.orderRow = orderRow;
    next.startedAt = next.plan.orderRow == orderRow ? next.plan.startedAt : now;
    rollout = std::move(next);
    rollout.settle();
    m_monitors[order.service].setTrialVersion(order.toVersion);
}

void RolloutTracker::setPlan(const std::string &service,
                             RowVersion orderRow,
                             base::TimePoint startedAt,
                             std::optional<base::TimePoint> fullAt)
{
    auto &rollout = m_rollouts[service];
    rollout.storedPlan = {orderRow, startedAt, fullAt};
    if (rollout.orderRow.era() > orderRow.era() && rollout.plan.orderRow == rollout.orderRow) {
        // The plan names the order as it was before the store came back.
        return;
    }
    if (rollout.plan.orderRow == orderRow && rollout.plan.fullAt) {
        // The first reading stands: later ones differ by the error of the store's clock.
        fullAt = rollout.plan.fullAt;
    }
    rollout.plan = {orderRow, startedAt, fullAt};
    if (rollout.orderRow == orderRow) {
        rollout.startedAt = std::min(rollout.startedAt, startedAt);
    }
}

RowVersion RolloutTracker::orderRow(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout == nullptr ? RowVersion() : rollout->orderRow;
}

base::TimePoint RolloutTracker::startedAt(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout == nullptr ? base::TimePoint{} : rollout->startedAt;
}

void RolloutTracker::removeOrder(const std::string &service)
{
    auto &rollout = m_rollouts[service];
    rollout.orderRow = {};
    m_monitors[service].setTrialVersion({});
}

void RolloutTracker::setStatus(const std::string &service, const RolloutStatus &status, RowVersion statusRow)
{
    auto &rollout = m_rollouts[service];
    const bool ofThisOrder = status.toVersion == rollout.order.toVersion && statusRow > rollout.orderRow;
    if (status.state == RolloutState::Reverted && (ofThisOrder || rollout.order.toVersion != status.toVersion)) {
        m_rejected[service].insert(status.toVersion);
    }
    if (statusRow >= rollout.statusRow) {
        rollout.status = status;
        rollout.statusRow = statusRow;
        rollout.settle();
    }
}

void RolloutTracker::setEvidence(const StoredEvidence &stored)
{
    if (stored.node == m_node) {
        return;
    }
    auto &rollout = m_rollouts[stored.service];
    rollout.peers[stored.node] = stored.evidence;
    if (rollout.orderRow != RowVersion()) {
        observeOthers(rollout);
    }
}

void RolloutTracker::setFleetEvidence(const std::string &service, const std::vector<RolloutEvidence> &sums)
{
    auto &rollout = m_rollouts[service];
    rollout.fleet = sums;
    if (rollout.orderRow != RowVersion()) {
        observeOthers(rollout);
    }
}

void RolloutTracker::observeOthers(Rollout &rollout) const
{
    const auto others = rollout.others();
    auto pooled = rollout.evidence;
    pooled.add(others);
    for (const auto &[route, tally] : others.newRuns) {
        for (const auto quality : badQualities) {
            auto &alarm = rollout.alarms[{route, quality}];
            alarm.observeOthers(tally.judged, tally.of(quality), pooled.ratesOn(route, quality));
        }
    }
    stopIfBad(rollout, pooled);
}

bool RolloutTracker::isStoppedAlone(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout != nullptr && rollout->isStoppedAlone;
}

const Rollout *RolloutTracker::find(const std::string &service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() || found->second.orderRow == RowVersion() ? nullptr : &found->second;
}

Rollout *RolloutTracker::find(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() || found->second.orderRow == RowVersion() ? nullptr : &found->second;
}

bool RolloutTracker::hasAllowance(const Rollout &rollout) const
{
    const double sent = rollout.newCounts.sent + rollout.oldCounts.sent;
    const double allowed = m_bound.share * sent + m_bound.tolerance / std::max(1U, m_nodes);
    return rollout.newCounts.sent + 1 <= usedExposure * allowed;
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
    if (rollout->isCompleted()) {
        return VersionPreference::New;
    }
    if (rollout->stopped()) {
        return VersionPreference::Old;
    }
    const auto step = rollout->stepAt(now);
    const auto share = isSession ? sessionShare(step, m_bound) : requestShare(step);
    const bool mayBeNew
        = step == RolloutStep::Full || (isSession ? rollout->progress(now) < giveUpAt : hasAllowance(*rollout));
    return mayBeNew && fractionOf(subject) < share ? VersionPreference::New : VersionPreference::Old;
}

VersionPreference RolloutTracker::preferredRetryVersion(const std::string &service, const std::string &version) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return VersionPreference::Any;
    }
    if (rollout->isCompleted()) {
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
    const bool onlyWanted = !wantNew || rollout->isCompleted();
    return wanted.empty() && !onlyWanted ? engines : wanted;
}

RunId RolloutTracker::recordSent(const std::string &service, const MonitoredRun &run, base::TimePoint now)
{
    auto *rollout = find(service);
    if (rollout != nullptr && run.version == rollout->order.toVersion) {
        ++rollout->newCounts.sent;
        rollout->evidence.addEngine(run.engineId);
        for (const auto quality : badQualities) {
            rollout->alarms[{run.kind.route, quality}].recordEngine(run.engineId);
        }
    } else if (rollout != nullptr) {
        ++rollout->oldCounts.sent;
    }
    return m_monitors[service].recordSent(run, now);
}

void RolloutTracker::recordFirstByte(const std::string &service, RunId id, base::TimePoint now)
{
    discardAfterStall(now);
    apply(service, m_monitors[service].recordFirstByte(id, now));
}

void RolloutTracker::recordEnded(const std::string &service, RunId id, RunEnd end, base::TimePoint now)
{
    discardAfterStall(now);
    apply(service, m_monitors[service].recordEnded(id, end, now));
}

void RolloutTracker::discardAfterStall(base::TimePoint now)
{
    if (m_updatedAt == base::TimePoint{} || now - m_updatedAt <= maxUpdateGap) {
        return;
    }
    m_updatedAt = now;
    for (auto &[service, monitor] : m_monitors) {
        monitor.discardUnjudged();
    }
}

void RolloutTracker::update(base::TimePoint now)
{
    discardAfterStall(now);
    m_updatedAt = now;
    for (auto &[service, rollout] : m_rollouts) {
        const auto step = rollout.stepAt(now);
        if (rollout.orderRow != RowVersion() && step > rollout.evidence.step) {
            enterStep(rollout, step);
        }
    }
    for (auto &[service, monitor] : m_monitors) {
        for (const auto &verdict : monitor.judgeByAge(now)) {
            apply(service, verdict);
        }
    }
}

void RolloutTracker::enterStep(Rollout &rollout, RolloutStep step)
{
    if (step == RolloutStep::Partial) {
        // The trial's load differs little from the partial step's, and its runs may be few.
        rollout.evidence.step = step;
        return;
    }
    // Runs under less load do not show how the version bears more.
    RolloutEvidence next;
    next.orderRow = rollout.orderRow;
    next.step = step;
    next.oldRuns = rollout.evidence.oldRuns;
    rollout.evidence = std::move(next);
    rollout.sharedRuns = 0;
    for (auto &item : rollout.alarms) {
        item.second.beginStep();
    }
}

void RolloutTracker::apply(const std::string &service, const std::optional<RunVerdict> &verdict)
{
    auto *rollout = find(service);
    if (!verdict || rollout == nullptr) {
        return;
    }
    const auto &run = verdict->run;
    if (run.version != rollout->order.toVersion) {
        rollout->oldCounts.add(*verdict);
        rollout->evidence.addOld(*verdict);
        return;
    }
    rollout->newCounts.add(*verdict);
    rollout->evidence.addNew(*verdict);
    const auto pooled = rollout->pooled();
    for (const auto quality : badQualities) {
        auto &alarm = rollout->alarms[{run.kind.route, quality}];
        alarm.observe(run.engineId, verdict->quality == quality, pooled.ratesOn(run.kind.route, quality), m_nodes);
        if (alarm.raised() && rollout->isOpen()) {
            const auto name = base::nameOf(runQualityNames, quality);
            rollout->stopReason = fmt::format("runs_of_{}_turned_{}_here", run.kind.route, name);
            rollout->isStoppedAlone = true;
        }
    }
    if (verdict->quality != RunQuality::Good) {
        stopIfBad(*rollout, pooled);
    }
}

void RolloutTracker::stopIfBad(Rollout &rollout, const RolloutEvidence &pooled) const
{
    if (rollout.isOpen() && pooled.showsBadVersion(m_nodes)) {
        rollout.stopReason = "runs_of_all_nodes_are_bad";
    }
}

bool RolloutTracker::mayComplete(const Rollout &rollout, base::TimePoint now)
{
    if (!rollout.fullAt() || rollout.evidence.step != RolloutStep::Full || rollout.progress(now) < completeAt) {
        return false;
    }
    const auto inFullStep = base::toSeconds(now - *rollout.fullAt());
    return inFullStep >= drainFraction * base::toSeconds(rollout.order.period) && rollout.pooled().showsGoodVersion();
}

bool RolloutTracker::isTooLate(const Rollout &rollout, base::TimePoint now)
{
    return rollout.progress(now) >= (rollout.fullAt() ? giveUpAt : giveUpWithoutFullStepAt);
}

std::optional<RolloutStatus> RolloutTracker::dueStatus(const std::string &service, base::TimePoint now) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr) {
        return std::nullopt;
    }
    const auto &toVersion = rollout->order.toVersion;
    if (rollout->verdict) {
        const bool isStored = rollout->hasStatus(*rollout->verdict);
        return isStored ? std::nullopt : std::optional(RolloutStatus{toVersion, *rollout->verdict});
    }
    if (!rollout->stopReason.empty()) {
        return RolloutStatus{toVersion, RolloutState::Reverted};
    }
    if (mayComplete(*rollout, now)) {
        return RolloutStatus{toVersion, RolloutState::Completed};
    }
    if (isTooLate(*rollout, now)) {
        return RolloutStatus{toVersion, RolloutState::Reverted};
    }
    const bool isPublished = rollout->hasStatus(RolloutState::InProgress);
    return isPublished ? std::nullopt : std::optional(RolloutStatus{toVersion, RolloutState::InProgress});
}

bool RolloutTracker::isFullStepDue(const std::string &service, base::TimePoint fullAt) const
{
    const auto *rollout = find(service);
    return rollout != nullptr && rollout->isOpen() && !rollout->fullAt()
        && rollout->evidence.step == RolloutStep::Partial && rollout->progress(fullAt) <= latestFullStep
        && rollout->pooled().showsGoodVersion();
}

bool RolloutTracker::isPlanDue(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout != nullptr && rollout->isOpen() && rollout->isPlanOutdated();
}

std::optional<base::TimePoint> RolloutTracker::fullAt(const std::string &service) const
{
    const auto *rollout = find(service);
    return rollout == nullptr ? std::nullopt : rollout->fullAt();
}

std::optional<RolloutEvidence> RolloutTracker::unsharedEvidence(const std::string &service) const
{
    const auto *rollout = find(service);
    if (rollout == nullptr || !rollout->isOpen()) {
        return std::nullopt;
    }
    const auto runs = rollout->evidence.allNew();
    return runs.judged + runs.bad() > rollout->sharedRuns ? std::optional(rollout->evidence) : std::nullopt;
}

void RolloutTracker::recordShared(const std::string &service, const RolloutEvidence &evidence)
{
    auto *rollout = find(service);
    if (rollout != nullptr && rollout->orderRow == evidence.orderRow && rollout->evidence.step == evidence.step) {
        const auto runs = evidence.allNew();
        rollout->sharedRuns = runs.judged + runs.bad();
    }
}

std::vector<std::string> RolloutTracker::servicesWithOrders() const
{
    std::vector<std::string> services;
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout.orderRow != RowVersion()) {
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
    const auto pooled = rollout->pooled();
    const auto next = pooled.allNew();
    const auto old = pooled.allOld();
    return fmt::format("{},new:{}/{}/{},old:{}/{}/{},rows:{},stopped:{}",
                       base::nameOf(rolloutStepNames, pooled.step),
                       next.judged,
                       next.late,
                       next.failed,
                       old.judged,
                       old.late,
                       old.failed,
                       rollout->peers.size(),
                       rollout->stopReason.empty() ? "no" : rollout->stopReason);
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
