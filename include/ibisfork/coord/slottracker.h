#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>
#include <ibisfork/coord/slotmap.h>

namespace ibisfork::coord {

/// Time bounds for the hand-over of a slot from one node to another. A run is the execution of one request at an
/// upstream.
struct SlotTimeBounds
{
    /// Upper bound of the duration of one run.
    base::Duration longestRun{};
    /// Upper bound of the time that a dispatched request takes to reach the upstream.
    base::Duration transit = std::chrono::seconds(1);
};

/// Tracks the concurrency slots that one node holds and which of them the node may use.
///
/// A slot that another node may have held before becomes usable when two conditions hold. The revision that moved the
/// slot is accepted, so that no node acts on an older revision. And the runs started by the former holder have ended:
/// the transit time and the longest run time have passed since then, or the upstream reports few enough runs.
class SlotTracker
{
public:
    SlotTracker(const std::string &node, SlotTimeBounds times);

    /// Switches to the slots of @p revision; ignores a revision that is not newer. After skipped revisions, which may
    /// have given any slot to other nodes, all slots count as newly gained.
    /// @p member tells whether this process is the member registered under the node's name at that revision.
    void update(Revision revision,
                bool member,
                const std::vector<SlotMember> &members,
                const std::vector<SlotUpstream> &upstreams,
                base::TimePoint now);

    /// Records that from @p now on no node acts on a revision older than @p accepted.
    void recordAccepted(Revision accepted, base::TimePoint now);

    /// Number of slots of @p upstream, numbered below @p limit, that this node may use at @p now.
    std::uint32_t usable(const std::string &upstream, std::uint32_t limit, base::TimePoint now) const;

    /// Records that at some time not before @p madeAt at most @p runs runs of all nodes together were at @p upstream.
    void recordRuns(const std::string &upstream, std::uint32_t runs, base::TimePoint madeAt);

    /// Whether this node holds any slot of @p upstream, usable or not.
    bool holds(const std::string &upstream) const { return m_held.contains(upstream); }
    /// Whether a slot of @p upstream is not usable yet because runs of its former holder may remain.
    bool hasPendingSlots(const std::string &upstream, base::TimePoint now) const;

private:
    struct Slot
    {
        std::uint32_t number = 0;
        /// Revision at which this node gained the slot; nullopt if no other node can have held the slot before.
        std::optional<Revision> gainedIn;
        /// When the acceptance of that revision became known.
        std::optional<base::TimePoint> releasedAt;
        /// Fewest runs reported by the upstream since the former holder can no longer have started any.
        std::optional<std::uint32_t> remainingRuns;
    };
    using Slots = std::vector<Slot>;
    /// When an upstream was last part of a revision.
    struct UpstreamRecord
    {
        Revision lastRevision = 0;
        /// When the acceptance of a revision without the upstream became known.
        std::optional<base::TimePoint> removedAt;
    };

    bool isUsable(const Slot &slot, base::TimePoint now) const;
    Slots ownSlots(const std::string &upstream, const Slots &before, bool isNewUpstream) const;
    void recordReleases(base::TimePoint now);
    void pruneRemoved(base::TimePoint now);

    HolderId m_self;
    SlotTimeBounds m_times;
    Revision m_revision = 0;
    Revision m_accepted = 0;
    SlotMap m_map;
    std::unordered_map<std::string, Slots> m_held;
    /// Upstreams of the current revision, and removed ones whose runs may not have ended.
    std::unordered_map<std::string, UpstreamRecord> m_known;
};

} // namespace ibisfork::coord
