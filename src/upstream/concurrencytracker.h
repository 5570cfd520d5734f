#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>
#include <ibisfork/coord/ramp.h>
#include <ibisfork/coord/slottracker.h>
#include <ibisfork/fleet/config.h>

#include "upstream/loadreport.h"
#include "upstream/slowfirsttokendetector.h"

namespace ibisfork::upstream {

/// Evidence from which a cold start was inferred.
enum class ColdStartSignal { ConnectionLost, NewIncarnation, SlowFirstToken, BroughtBack, Notice };
inline constexpr std::array<base::Name<ColdStartSignal>, 5> coldStartSignalNames{{
    {ColdStartSignal::ConnectionLost, "connection-lost"},
    {ColdStartSignal::NewIncarnation, "new-incarnation"},
    {ColdStartSignal::SlowFirstToken, "slow-first-token"},
    {ColdStartSignal::BroughtBack, "brought-back"},
    {ColdStartSignal::Notice, "notice"},
}};

/// Message that informs other nodes of a cold start detected by this node.
struct ColdStartNotice
{
    std::string upstream;
    /// Last known incarnation of the upstream; empty if none is known.
    std::string incarnation;
    ColdStartSignal signal = ColdStartSignal::ConnectionLost;
};

/// Tracks this node's requests in flight at each upstream and computes how many more the node may start there.
/// The bound is the smaller of the warm-up limit of the upstream and the node's share of the upstream's slots.
class ConcurrencyTracker
{
public:
    /// This process counts as fleet member @p node only while that member's row holds @p incarnation.
    ConcurrencyTracker(const std::string &node, std::string incarnation, coord::SlotTimeBounds times);

    /// Applies the upstreams and members of a new revision; every revision must be applied, in order.
    void update(const fleet::Config &config, base::TimePoint now);
    /// Records that no node acts on a revision older than @p accepted any more.
    void recordAccepted(coord::Revision accepted, base::TimePoint now) { m_slots.recordAccepted(accepted, now); }
    /// Sets the handler that is called for each cold start detected or suspected by this node.
    void onNotice(std::function<void(ColdStartNotice)> handler) { m_notice = std::move(handler); }
    /// Sets how long an engine counts as warm after its last response.
    void setFreshnessTimeout(base::Duration freshnessTimeout) { m_freshnessTimeout = freshnessTimeout; }

    /// Number of further requests that this node may start at @p upstream.
    std::uint32_t availableCapacity(const std::string &upstream, base::TimePoint now) const;
    /// Number of this node's requests in flight at @p upstream.
    std::uint32_t running(const std::string &upstream) const;
    /// Estimated requests of all nodes at @p upstream, divided by its warm limit; 1 if @p upstream is unknown. Based on
    /// the last load report and this node's requests since then.
    double occupancy(const std::string &upstream) const;
    /// Whether this node holds slots of @p upstream, including slots that are not usable yet.
    bool holds(const std::string &upstream) const { return m_slots.holds(upstream); }
    /// Sorted ids of the upstreams of which this node holds slots.
    std::vector<std::string> heldUpstreams() const;
    /// Whether at least half of the held upstreams have no slots still waiting to become usable.
    bool hasMostSlotsUsable(base::TimePoint now) const;
    /// Whether this process is a member of the fleet.
    bool isMember() const { return m_member; }

    /// Records that a request was sent to @p upstream.
    void recordStart(const std::string &upstream);
    /// Records that a started request can no longer be running at @p upstream.
    void recordEnd(const std::string &upstream);

    /// Records the incarnation named in a response of @p upstream; a changed incarnation is a cold start.
    void recordIncarnation(const std::string &upstream, const std::string &incarnation, base::TimePoint now);
    /// Resets @p upstream to its cold limit, from which the limit ramps up again.
    void recordColdStart(const std::string &upstream,
                         base::TimePoint now,
                         ColdStartSignal signal = ColdStartSignal::ConnectionLost);
    /// Records the time to the first token of an answer; an outlier is a sign of a cold start.
    void recordFirstToken(const std::string &upstream, base::Duration after, base::TimePoint now);
    /// Applies a load report that was requested at @p requestedAt.
    void recordLoadReport(const std::string &upstream,
                          const LoadReport &report,
                          base::TimePoint requestedAt,
                          base::TimePoint now);
    /// Records a refused connection: no request may be started at @p upstream until it responds again.
    void recordConnectionRefused(const std::string &upstream, base::TimePoint now);
    /// Records a lost connection: @p upstream counts as cold until a later load report confirms its incarnation.
    void recordConnectionLost(const std::string &upstream, base::TimePoint now);
    /// Whether @p upstream may have restarted and no load report has settled the question yet.
    bool isRestartSuspected(const std::string &upstream) const;
    /// Applies a notice received from another node.
    void applyNotice(const ColdStartNotice &notice, base::TimePoint now);

private:
    struct Entry
    {
        explicit Entry(base::TimePoint now)
            : ramp(now)
            , lastResponseAt(now)
        { }

        fleet::ConcurrencyLimit limit;
        bool engine = true;
        /// The upstream is live and its failure domain is in service.
        bool inService = true;
        /// The last load report says that the upstream accepts no new requests.
        bool draining = false;
        /// A connection was refused and the upstream has not responded since.
        bool unreachable = false;
        /// Time of the first sign of a restart that no load report has settled.
        std::optional<base::TimePoint> restartSuspectedAt;
        std::uint32_t running = 0;
        /// Requests sent for which no response has begun.
        std::uint32_t unanswered = 0;
        std::string incarnation;
        coord::Ramp ramp;
        SlowFirstTokenDetector slowFirstTokenDetector;
        /// Time at which the upstream last confirmed its incarnation.
        base::TimePoint lastResponseAt;
        std::uint32_t reportedRunning = 0;
        /// This node's requests in flight when the last load report was received.
        std::uint32_t ownRunningAtReport = 0;
    };

    static bool isInService(const fleet::Config &config, const fleet::Upstream &upstream);
    Entry *find(const std::string &upstream);
    const Entry *find(const std::string &upstream) const;
    std::uint32_t allowed(const Entry &entry, base::TimePoint now) const;
    bool suspectRestart(const std::string &upstream, base::TimePoint now);
    void applyUpstreams(const fleet::Config &config, base::TimePoint now);

    std::string m_node;
    std::string m_incarnation;
    bool m_member = false;
    coord::SlotTracker m_slots;
    base::Duration m_freshnessTimeout;
    std::function<void(ColdStartNotice)> m_notice;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace ibisfork::upstream
