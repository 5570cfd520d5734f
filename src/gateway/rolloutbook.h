#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/enginebook.h"

namespace ibisfork::gateway {

/// Which engines of a service a request should run at while a roll-out is under way.
enum class VersionPreference {
    Any, ///< No roll-out is under way.
    Old,
    New,
};

/// How a run ended, as evidence about its version.
struct RunOutcome
{
    bool failed = false;
    /// Time to the first byte of the answer, if there was an answer.
    std::optional<base::Duration> firstByte;
    /// The model that ran, if the node chose it.
    std::string model{};
};

/// Runs of one version, in all or of one route.
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

/// Answers of the new version against what the old one takes for the same route and model.
struct Slowness
{
    unsigned timed = 0;
    double seconds = 0;
    double usualSeconds = 0;
};

/// The roll-outs that operators have ordered, and the evidence about their versions.
///
/// In the first half of the period a small share of the requests goes to the new version. Sessions stay on the old one:
/// their requests come to several nodes, and none knows whether a session has begun elsewhere. After that all requests
/// move, sessions once and for good, and before the end of the period the roll-out is completed. Evidence against the
/// version ends its use at once.
class RolloutBook
{
public:
    /// @p orderRow: the order's row version, by which a later order is told apart.
    void setOrder(const RolloutOrder &order, std::uint64_t orderRow, base::TimePoint now);
    /// The order that stands in row version @p orderRow was first seen by a node at @p begun.
    void setStart(const std::string &service, std::uint64_t orderRow, base::TimePoint begun);
    void removeOrder(const std::string &service);
    /// @p statusRow: its row version; what was said before an order does not concern it.
    void setStatus(const std::string &service, const RolloutStatus &status, std::uint64_t statusRow);
    /// Row version of the order under way, 0 if there is none.
    std::uint64_t orderRow(const std::string &service) const;

    /// @p subject: what stays on one version, a session or the request alone.
    VersionPreference prefer(const std::string &service,
                             const std::string &subject,
                             bool isSession,
                             base::TimePoint now) const;
    /// The same for a request that has run on @p version already and goes on elsewhere.
    VersionPreference preferSame(const std::string &service, const std::string &version) const;
    /// Those of @p engines that may run the request, the preferred version if it has any.
    std::vector<Engine *> permitted(const std::string &service,
                                    std::vector<Engine *> engines,
                                    VersionPreference preference) const;

    void noteOutcome(const std::string &service,
                     const std::string &version,
                     const std::string &route,
                     const RunOutcome &outcome);

    /// What should be said of the roll-out of @p service now, if that has changed.
    std::optional<RolloutStatus> due(const std::string &service, base::TimePoint now) const;
    /// Services with a roll-out under way.
    std::vector<std::string> underWay() const;
    /// The evidence in short, for logs.
    std::string evidence(const std::string &service) const;

private:
    struct Start
    {
        std::uint64_t orderRow = 0;
        base::TimePoint begun{};
    };

    struct Rollout
    {
        RolloutOrder order;
        std::uint64_t orderRow = 0;
        base::TimePoint begun{};
        std::optional<RolloutStatus> status;
        std::uint64_t statusRow = 0;
        Start start;
        bool stoppedHere = false;
        VersionRuns newRuns;
        VersionRuns oldRuns;
        std::map<std::string, VersionRuns> newByRoute;
        std::map<std::string, VersionRuns> oldByRoute;
        /// The old version's runs by route and model: a large model is several times slower than a small one, and few
        /// runs of a node may be of one model by chance.
        std::map<std::pair<std::string, std::string>, VersionRuns> oldByModel;
        std::map<std::string, Slowness> slowness;

        bool decided(RolloutState state) const;
        bool stopped() const { return stoppedHere || decided(RolloutState::Reverted); }
    };

    static double progress(const Rollout &rollout, base::TimePoint now);
    static bool isFailing(const VersionRuns &newRuns, const VersionRuns &oldRuns);
    static bool isSlow(const Slowness &slowness);
    static void noteSpeed(Rollout &rollout, bool isNew, const std::string &route, const RunOutcome &outcome);
    static bool evidenceAgainst(const Rollout &rollout);
    const Rollout *find(const std::string &service) const;

    std::map<std::string, Rollout> m_rollouts;
    /// Versions that were stopped, by service; their engines may run on for a while under a later order.
    std::map<std::string, std::set<std::string>> m_rejected;
};

} // namespace ibisfork::gateway
