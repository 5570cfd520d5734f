#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/enginetracker.h"
#include "gateway/runmonitor.h"

namespace ibisfork::gateway {

/// Which version's engines a request should run at while a rollout is in progress.
enum class VersionPreference {
    Any, ///< No rollout is in progress.
    Old,
    New,
};

/// Result of one run, as evidence about the version that ran it.
struct RunOutcome
{
    bool failed = false;
    /// Time to the first byte of the response, if there was a response.
    std::optional<base::Duration> firstByte;
    /// Model that ran the request if the node chose it, otherwise empty.
    std::string model{};
};

/// Run statistics of one version, in total, per route, or per route and model.
struct VersionRuns
{
    unsigned total = 0;
    unsigned failed = 0;
    unsigned timed = 0;
    double firstByteSeconds = 0;

    void add(const RunOutcome &outcome);
    double failedShare() const { return total == 0 ? 0.0 : static_cast<double>(failed) / total; }
    double meanFirstByte() const { return timed == 0 ? 0.0 : firstByteSeconds / timed; }
};

/// Time to first byte of the new version, compared with the old version's mean for the same route and model.
struct Slowness
{
    unsigned timed = 0;
    double seconds = 0;
    double usualSeconds = 0;
};

/// Number of a version's runs at this node, by how far they have come.
struct RunCounts
{
    unsigned sent = 0;
    unsigned good = 0;
    unsigned late = 0;
    unsigned failed = 0;

    void add(const RunVerdict &verdict);
};

/// Tracks the rollouts that operators have ordered, and the run statistics of their versions.
///
/// In the first half of the period a small share of the requests goes to the new version. Sessions stay on the old one:
/// their requests arrive at several nodes, and no node knows whether a session has started elsewhere. After that all
/// requests move to the new version, each session at most once and never back, and the rollout completes before the end
/// of the period. A new version that fails or is slow stops receiving requests at once.
class RolloutTracker
{
public:
    /// Adds or replaces the order of a service. @p orderRow: row version of the order, which distinguishes it from a
    /// later order of the same content.
    void setOrder(const RolloutOrder &order, std::uint64_t orderRow, base::TimePoint now);
    /// Records that the order of row version @p orderRow was first seen by any node at @p startedAt.
    void setStart(const std::string &service, std::uint64_t orderRow, base::TimePoint startedAt);
    /// Ends the rollout of @p service after its order was deleted.
    void removeOrder(const std::string &service);
    /// Takes a status read from the store. @p statusRow: row version of the status; a status older than the order does
    /// not apply to that order.
    void setStatus(const std::string &service, const RolloutStatus &status, std::uint64_t statusRow);
    /// Row version of the current order, 0 if there is none.
    std::uint64_t orderRow(const std::string &service) const;

    /// Which version should serve a request. @p subject: id of the session, or of the request if it has no session;
    /// equal subjects get equal results at every node.
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

    /// Adds the result of a run to the statistics; stops the new version if they show that it fails or is slow.
    void recordOutcome(const std::string &service,
                       const std::string &version,
                       const std::string &route,
                       const RunOutcome &outcome);

    /// Records that a request was sent to an engine of @p service; the result identifies the run in the next calls.
    RunId recordSent(const std::string &service, const MonitoredRun &run, base::TimePoint now);
    /// Records the first byte of a response that is no failure.
    void recordFirstByte(const std::string &service, RunId id, base::TimePoint now);
    void recordEnded(const std::string &service, RunId id, RunEnd end, base::TimePoint now);
    /// Judges the runs that are late and have not been answered. Must be called regularly.
    void judgeUnanswered(base::TimePoint now);

    /// Status that should be written to the store for @p service now, if it differs from the last one read.
    std::optional<RolloutStatus> dueStatus(const std::string &service, base::TimePoint now) const;
    /// Services that have a rollout order.
    std::vector<std::string> servicesWithOrders() const;
    /// Run statistics of both versions in short, for logs: failed/total/mean time to first byte.
    std::string evidence(const std::string &service) const;
    /// Runs of both versions at this node in short, for logs: sent/unjudged/good/late/failed.
    std::string runSummary(const std::string &service) const;

private:
    struct Start
    {
        std::uint64_t orderRow = 0;
        base::TimePoint startedAt{};
    };

    struct Rollout
    {
        RolloutOrder order;
        std::uint64_t orderRow = 0;
        base::TimePoint startedAt{};
        std::optional<RolloutStatus> status;
        std::uint64_t statusRow = 0;
        Start start;
        bool stoppedLocally = false;
        VersionRuns newRuns;
        VersionRuns oldRuns;
        std::map<std::string, VersionRuns> newByRoute;
        std::map<std::string, VersionRuns> oldByRoute;
        /// The old version's runs by route and model. A large model is several times slower than a small one, and the
        /// few runs of the new version at one node may all be of one model by chance.
        std::map<std::pair<std::string, std::string>, VersionRuns> oldByModel;
        std::map<std::string, Slowness> slowness;
        RunCounts newCounts;
        RunCounts oldCounts;

        /// True if the current order's status, as read from the store, is @p state.
        bool hasStatus(RolloutState state) const;
        bool stopped() const { return stoppedLocally || hasStatus(RolloutState::Reverted); }
    };

    /// Elapsed fraction of the rollout's period; above 1 after its end.
    static double progress(const Rollout &rollout, base::TimePoint now);
    static bool isFailing(const VersionRuns &newRuns, const VersionRuns &oldRuns);
    static bool isSlow(const Slowness &slowness);
    static void recordSpeed(Rollout &rollout, bool isNew, const std::string &route, const RunOutcome &outcome);
    static bool evidenceAgainst(const Rollout &rollout);
    const Rollout *find(const std::string &service) const;
    Rollout *find(const std::string &service);
    void apply(const std::string &service, const std::optional<RunVerdict> &verdict);

    std::map<std::string, Rollout> m_rollouts;
    /// Open runs, by service, also of services without an order: what is usual must be known when an order arrives.
    std::map<std::string, RunMonitor> m_monitors;
    /// Versions that were stopped, by service; their engines may keep running for a while under a later order.
    std::map<std::string, std::set<std::string>> m_rejected;
};

} // namespace ibisfork::gateway
