#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/enginetracker.h"
#include "gateway/rollout.h"
#include "gateway/rolloutevidence.h"
#include "gateway/runmonitor.h"

namespace ibisfork::gateway {

/// Which version's engines a request should run at while a rollout is in progress.
enum class VersionPreference {
    Any, ///< No rollout is in progress.
    Old,
    New,
};

/// Bound on the requests that a version may get before it has proved good, over all nodes.
struct ExposureBound
{
    /// Share of all requests to the service since the order.
    double share = 0.15;
    /// Requests in addition to the share.
    double tolerance = 30;
};

/// Tracks the rollouts that operators have ordered, and the runs of their versions.
///
/// The trial begins with the order: a few requests go to the new version. Sessions stay on the old one, since their
/// requests arrive at several nodes and no node knows whether a session has started elsewhere. In the second half of
/// the period a part of the sessions and of the other requests moves. All requests move only after the judged runs of
/// all nodes together show that the new version is good, and the rollout completes only after those of the full load
/// do. Runs that show a bad version stop it at once; a rollout that has not proved its version good near the end of its
/// period is reverted.
///
/// A session moves at most once and never back, unless the version is stopped: its version follows from its id and the
/// step alone, which are the same at all nodes. Until the full step, each node keeps its share of the exposure bound by
/// its other requests, which leave room for those of sessions.
class RolloutTracker
{
public:
    /// Sets the name under which this node stores its evidence; evidence stored under it is ignored.
    void setNode(const std::string &name) { m_node = name; }
    void setExposureBound(const ExposureBound &bound) { m_bound = bound; }
    /// Sets the number of nodes that share the exposure bound.
    void setNodes(unsigned nodes) { m_nodes = nodes; }

    /// Adds or replaces the order of a service. @p orderRow: row version of the order, which distinguishes it from an
    /// order of the same content after the end of its period. Within the period such an order changes nothing.
    /// @p mayBeEarlier: the store has just come back from an older copy, so the order may be one that another has
    /// followed; it then gives no rejected version another trial.
    void setOrder(const RolloutOrder &order, RowVersion orderRow, base::TimePoint now, bool mayBeEarlier = false);
    /// Records that the order of row version @p orderRow was first seen by any node at @p startedAt, and that all
    /// requests move to the new version at @p fullAt, if that is decided.
    void setPlan(const std::string &service,
                 RowVersion orderRow,
                 base::TimePoint startedAt,
                 std::optional<base::TimePoint> fullAt);
    /// Ends the rollout of @p service after its order was deleted.
    void removeOrder(const std::string &service);
    /// Takes a status read from the store. @p statusRow: row version of the status; a status older than the order does
    /// not apply to that order.
    void setStatus(const std::string &service, const RolloutStatus &status, RowVersion statusRow);
    /// Takes the evidence that a node has stored; it replaces that node's earlier evidence.
    void setEvidence(const StoredEvidence &stored);
    /// Takes the sums of all other nodes' evidence for each order and step of @p service, in place of those before.
    void setFleetEvidence(const std::string &service, const std::vector<RolloutEvidence> &sums);
    /// True if the version on trial was stopped by runs of this node alone.
    bool isStoppedAlone(const std::string &service) const;
    /// Row version of the current order, 0 if there is none.
    RowVersion orderRow(const std::string &service) const;
    /// When the order was first seen by any node, as far as this node knows.
    base::TimePoint startedAt(const std::string &service) const;

    /// Which version should serve a request. @p subject: id of the session, or of the request if it has no session;
    /// equal subjects get equal results at every node while the exposure bound is not reached.
    VersionPreference preferredVersion(const std::string &service,
                                       const std::string &subject,
                                       bool isSession,
                                       base::TimePoint now) const;
    /// Which version should serve the retry of a request that already ran on @p version: the same one unless it is
    /// stopped.
    VersionPreference preferredRetryVersion(const std::string &service, const std::string &version) const;
    /// Filters @p engines to those that may run a request of @p preference. Falls back to the old version if the new
    /// one has no engines and the rollout is not completed.
    std::vector<Engine *> permitted(const std::string &service,
                                    std::vector<Engine *> engines,
                                    VersionPreference preference) const;

    /// Records that a request was sent to an engine of @p service; the result identifies the run in the next calls.
    RunId recordSent(const std::string &service, const MonitoredRun &run, base::TimePoint now);
    /// Records the first byte of a response that is no failure.
    void recordFirstByte(const std::string &service, RunId id, base::TimePoint now);
    void recordEnded(const std::string &service, RunId id, RunEnd end, base::TimePoint now);
    /// Enters the steps that are due and judges the runs that can be judged by their age. Must be called several times
    /// a second: a long time without a call means that this node stood still.
    void update(base::TimePoint now);

    /// Status that should be written to the store for @p service now, if it differs from the last one read.
    std::optional<RolloutStatus> dueStatus(const std::string &service, base::TimePoint now) const;
    /// The evidence of all nodes allows all requests to move, and no time for that is planned yet. @p fullAt: when they
    /// would move; the rollout must still be able to complete then.
    bool isFullStepDue(const std::string &service, base::TimePoint fullAt) const;
    /// The store lacks what this node knows of the rollout's times, because it came back from an older copy.
    bool isPlanDue(const std::string &service) const;
    /// When all requests move to the new version, if that is planned.
    std::optional<base::TimePoint> fullAt(const std::string &service) const;
    /// This node's evidence if it has runs that were not in the evidence last taken.
    std::optional<RolloutEvidence> unsharedEvidence(const std::string &service) const;
    /// Records that @p evidence of this node was stored.
    void recordShared(const std::string &service, const RolloutEvidence &evidence);
    /// Services that have a rollout order.
    std::vector<std::string> servicesWithOrders() const;
    /// Step and judged runs of all nodes in short, for logs: judged/late/failed of each version, and why the new one is
    /// stopped.
    std::string evidence(const std::string &service) const;
    /// Runs of both versions at this node in short, for logs: sent/unjudged/good/late/failed.
    std::string runSummary(const std::string &service) const;

private:
    const Rollout *find(const std::string &service) const;
    Rollout *find(const std::string &service);
    /// This node's share of the exposure bound has room for another request.
    bool hasAllowance(const Rollout &rollout) const;
    /// The rollout can't complete within its period any more.
    static bool isTooLate(const Rollout &rollout, base::TimePoint now);
    /// Takes in what other nodes have told of their runs.
    void observeOthers(Rollout &rollout) const;
    static void enterStep(Rollout &rollout, RolloutStep step);
    /// Stops the new version if @p pooled, the evidence of all nodes, shows that it is bad.
    void stopIfBad(Rollout &rollout, const RolloutEvidence &pooled) const;
    static bool mayComplete(const Rollout &rollout, base::TimePoint now);
    void apply(const std::string &service, const std::optional<RunVerdict> &verdict);
    /// Discards the runs without a verdict if this node has not been running for a while.
    void discardAfterStall(base::TimePoint now);

    std::string m_node;
    ExposureBound m_bound;
    unsigned m_nodes = 1;
    base::TimePoint m_updatedAt{};
    std::map<std::string, Rollout> m_rollouts;
    /// Open runs, by service, also of services without an order: what is usual must be known when an order arrives.
    std::map<std::string, RunMonitor> m_monitors;
    /// Versions that were stopped, by service; their engines may keep running for a while under a later order.
    std::map<std::string, std::set<std::string>> m_rejected;
};

} // namespace ibisfork::gateway
