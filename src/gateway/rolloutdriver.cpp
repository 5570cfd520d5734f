#include "gateway/rolloutdriver.h"

#include <algorithm>

#include "gateway/eventlog.h"
#include "platform/factcodec.h"

namespace ibisfork::gateway {

namespace {

/// Time between the decision to move all requests and the move, in which all nodes learn of it: a session whose
/// requests arrive at several nodes must not go back and forth between versions.
constexpr std::chrono::milliseconds fullStepNotice{1000};
constexpr std::chrono::milliseconds logInterval{1000};

} // namespace

RolloutDriver::RolloutDriver(Context &context,
                             StoreClient &store,
                             const TableSource &source,
                             const TableWatch &operatorTable,
                             const TableWatch &statusTable,
                             evidence::EvidenceExchange &exchange)
    : m_context(context)
    , m_store(store)
    , m_source(source)
    , m_operatorTable(operatorTable)
    , m_statusTable(statusTable)
    , m_exchange(exchange)
{
    const auto &settings = context.settings;
    auto &rollouts = context.view.rollouts();
    rollouts.setNode(settings.node.name);
    rollouts.setExposureBound({settings.bounds.exposureShare, settings.bounds.exposureTolerance});
}

void RolloutDriver::tick(base::TimePoint now)
{
    m_context.view.rollouts().update(now);
    writeDueStatuses(now);
    writeDueFullSteps(now);
    shareEvidence();
    logRuns(now);
}

bool RolloutDriver::knowsStoredRows(const std::string &service) const
{
    const auto era = m_context.view.rollouts().orderRow(service).era();
    return era == m_source.era() && era == m_statusTable.version().era() && era == m_operatorTable.version().era();
}

bool RolloutDriver::mayWriteStatus(const std::string &service, const RolloutStatus &status, base::TimePoint now)
{
    const auto [since, isNew] = m_statusDueSince.try_emplace(service, now);
    // A revert for what only this node has seen must not wait.
    const bool isOwnRevert
        = status.state == RolloutState::Reverted && m_context.view.rollouts().isStoppedAlone(service);
    return isOwnRevert || m_source.isTurnToWrite(since->second, now);
}

void RolloutDriver::writeDueStatuses(base::TimePoint now)
{
    const auto &rollouts = m_context.view.rollouts();
    for (const auto &service : rollouts.servicesWithOrders()) {
        const auto due = rollouts.dueStatus(service, now);
        if (!due) {
            m_statusDueSince.erase(service);
        } else if (m_statusTable.loaded() && knowsStoredRows(service) && !m_pendingStatuses.contains(service)
                   && mayWriteStatus(service, *due, now)) {
            writeStatus(service, *due);
        }
    }
}

ConditionalWrite RolloutDriver::planRow(const std::string &service, const RolloutPlan &plan) const
{
    ConditionalWrite row;
    row.table = ownTable;
    row.key = std::string(rolloutPlanPrefix) + service;
    row.data = encodeRolloutPlan(plan);
    return row;
}

void RolloutDriver::writeStatus(const std::string &service, const RolloutStatus &status)
{
    m_pendingStatuses.insert(service);
    ConditionalWrite row;
    row.table = platform::statusTable();
    row.key = platform::rolloutStatusKey(service);
    row.data = platform::encodeRolloutStatus(status);
    row.expectedVersion = m_context.view.statusVersion(service);
    const auto &rollouts = m_context.view.rollouts();
    EventLog::state("rollout_status")
        .field("service", service)
        .field("to", status.toVersion)
        .field("state", base::nameOf(rolloutStateNames, status.state))
        .field("evidence", rollouts.evidence(service));
    std::vector<ConditionalWrite> rows{row};
    if (status.state == RolloutState::InProgress) {
        rows.push_back(planRow(service, planOf(service, rollouts.fullAt(service), base::monotonicNow())));
    }
    m_store.write(StoreCallCause::RolloutStatus, rows, [this, service, status](const WriteResult &result) {
        m_pendingStatuses.erase(service);
        EventLog::state("rollout_status_written")
            .field("service", service)
            .field("outcome", base::nameOf(writeOutcomeNames, result.outcome))
            .field("row", result.version.text());
        if (result.outcome == WriteOutcome::Done) {
            m_context.view.applyStatus(service, status, result.version);
        }
    });
}

void RolloutDriver::writeDueFullSteps(base::TimePoint now)
{
    const auto &rollouts = m_context.view.rollouts();
    for (const auto &service : rollouts.servicesWithOrders()) {
        const bool isStepDue = rollouts.isFullStepDue(service, now + fullStepNotice);
        if (!isStepDue && !rollouts.isPlanDue(service)) {
            m_stepDueSince.erase(service);
            continue;
        }
        const auto [since, isNew] = m_stepDueSince.try_emplace(service, now);
        if (m_pendingPlans.contains(service) || !m_source.isTurnToWrite(since->second, now)) {
            continue;
        }
        if (isStepDue) {
            writeFullStep(service, now);
        } else {
            rewritePlan(service, now);
        }
    }
}

void RolloutDriver::writeFullStep(const std::string &service, base::TimePoint now)
{
    EventLog::state("rollout_full_step")
        .field("service", service)
        .field("in_ms", fullStepNotice.count())
        .field("evidence", m_context.view.rollouts().evidence(service));
    writePlan(service, planOf(service, now + fullStepNotice, now));
}

void RolloutDriver::rewritePlan(const std::string &service, base::TimePoint now)
{
    EventLog::state("rollout_plan_rewritten").field("service", service);
    writePlan(service, planOf(service, m_context.view.rollouts().fullAt(service), now));
}

RolloutPlan RolloutDriver::planOf(const std::string &service,
                                  std::optional<base::TimePoint> fullAt,
                                  base::TimePoint now) const
{
    const auto &rollouts = m_context.view.rollouts();
    const auto nowMs = m_operatorTable.storeNowMs();
    RolloutPlan plan{rollouts.orderRow(service), nowMs - base::toMilliseconds(now - rollouts.startedAt(service)), {}};
    if (fullAt) {
        plan.fullMs = nowMs + base::toMilliseconds(*fullAt - now);
    }
    return plan;
}

void RolloutDriver::writePlan(const std::string &service, const RolloutPlan &plan)
{
    m_pendingPlans.insert(service);
    auto row = planRow(service, plan);
    row.expectedVersion = m_context.view.planVersion(service);
    m_store.write(StoreCallCause::RolloutPlan, {row}, [this, service](const WriteResult &result) {
        m_pendingPlans.erase(service);
        EventLog::state("rollout_plan_written")
            .field("service", service)
            .field("outcome", base::nameOf(writeOutcomeNames, result.outcome));
    });
}

void RolloutDriver::shareEvidence()
{
    auto &rollouts = m_context.view.rollouts();
    for (const auto &service : rollouts.servicesWithOrders()) {
        const auto evidence = rollouts.unsharedEvidence(service);
        if (evidence && m_exchange.setOwn(service, *evidence)) {
            rollouts.recordShared(service, *evidence);
        }
    }
}

void RolloutDriver::logRuns(base::TimePoint now)
{
    if (now - m_runsLoggedAt < logInterval) {
        return;
    }
    m_runsLoggedAt = now;
    const auto &rollouts = m_context.view.rollouts();
    for (const auto &service : rollouts.servicesWithOrders()) {
        EventLog::state("rollout_runs")
            .field("service", service)
            .field("sent_unjudged_good_late_failed", rollouts.runSummary(service))
            .field("all_nodes", rollouts.evidence(service));
    }
}

} // namespace ibisfork::gateway
