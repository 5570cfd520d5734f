#pragma once

#include <map>
#include <set>
#include <string>

#include "gateway/context.h"
#include "gateway/evidence/evidenceexchange.h"
#include "gateway/rolloutplan.h"
#include "gateway/storeclient.h"
#include "gateway/tablesource.h"
#include "gateway/tablewatch.h"

namespace ibisfork::gateway {

/// Writes what is due in rollouts to the store, statuses and times of steps, and tells other nodes this node's
/// evidence. There is no leader; every node may write, and conditional writes decide which one succeeds.
class RolloutDriver
{
public:
    /// @p operatorTable gives the store's clock. All arguments must outlive this object.
    RolloutDriver(Context &context,
                  StoreClient &store,
                  const TableSource &source,
                  const TableWatch &operatorTable,
                  const TableWatch &statusTable,
                  evidence::EvidenceExchange &exchange);

    /// Judges open runs and writes what is due; must be called regularly.
    void tick(base::TimePoint now);
    /// Writes the statuses that are due.
    void writeDueStatuses(base::TimePoint now);

private:
    /// The tables that conditions of a write rest on have been read since the store last came back from a copy.
    bool knowsStoredRows(const std::string &service) const;
    bool mayWriteStatus(const std::string &service, const RolloutStatus &status, base::TimePoint now);
    ConditionalWrite planRow(const std::string &service, const RolloutPlan &plan) const;
    void writeStatus(const std::string &service, const RolloutStatus &status);
    void writeDueFullSteps(base::TimePoint now);
    void writeFullStep(const std::string &service, base::TimePoint now);
    /// Writes the plan as this node knows it again, after the store has lost it.
    void rewritePlan(const std::string &service, base::TimePoint now);
    void writePlan(const std::string &service, const RolloutPlan &plan);
    /// The plan of a rollout whose requests move at @p fullAt, by the store's clock.
    RolloutPlan planOf(const std::string &service, std::optional<base::TimePoint> fullAt, base::TimePoint now) const;
    void shareEvidence();
    /// Logs the runs of services with a rollout in progress, at most once in a while.
    void logRuns(base::TimePoint now);

    Context &m_context;
    StoreClient &m_store;
    const TableSource &m_source;
    const TableWatch &m_operatorTable;
    const TableWatch &m_statusTable;
    evidence::EvidenceExchange &m_exchange;
    std::set<std::string> m_pendingStatuses;
    std::set<std::string> m_pendingPlans;
    /// Since when a status or a step has been due that this node leaves to the nodes that read the store, by service.
    std::map<std::string, base::TimePoint> m_statusDueSince;
    std::map<std::string, base::TimePoint> m_stepDueSince;
    base::TimePoint m_runsLoggedAt{};
};

} // namespace ibisfork::gateway
