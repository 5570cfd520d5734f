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

/// Bounds that the hand-over of a slot rests on.
struct SlotTimes
{
    /// Longest time that one run stays at an upstream.
    base::Duration longestRun{};
    /// Longest time that a dispatched request is on its way.
    base::Duration transit = std::chrono::seconds(1);
};

/// The slots that one node holds, and which of them it may use by now.
///
/// A slot that another node may have held before is used once the revision that moved it is accepted, so that no node
/// acts on an older one, and what the former holder started is over: after the longest run, or as far as the upstream
/// itself reports fewer runs.
class SlotBook
{
public:
    SlotBook(const std::string &node, SlotTimes times);

    /// Takes a revision. Revisions that were skipped may have given any slot to others meanwhile.
    /// @p member tells whether this process is the member of its name at that revision.
    void update(Revision revision,
                bool member,
                const std::vector<SlotMember> &members,
                const std::vector<SlotUpstream> &upstreams,
                base::TimePoint now);

    /// Notes that no node acts on a revision older than @p accepted any more, as known from @p now on.
    void noteAccepted(Revision accepted, base::TimePoint now);

    /// Slots below number @p limit of @p upstream that this node may use at @p now.
    std::uint32_t usable(const std::string &upstream, std::uint32_t limit, base::TimePoint now) const;

    /// Notes that at most @p runs ran at @p upstream, from all nodes, at some instant from @p madeAt on.
    void sawRuns(const std::string &upstream, std::uint32_t runs, base::TimePoint madeAt);

    bool holds(const std::string &upstream) const { return m_held.contains(upstream); }
    /// Whether a slot of @p upstream waits for its former holder.
    bool waits(const std::string &upstream, base::TimePoint now) const;

private:
    struct Slot
    {
        std::uint32_t number = 0;
        /// The revision by which this node gained it from an unknown holder; nothing if it had none.
        std::optional<Revision> gainedIn;
        /// When that revision was accepted.
        std::optional<base::TimePoint> freedAt;
        /// Fewest runs that the upstream had since the former holder could start no more.
        std::optional<std::uint32_t> leftover;
    };
    using Slots = std::vector<Slot>;
    struct Presence
    {
        Revision seenIn = 0;
        /// When a revision without it was accepted.
        std::optional<base::TimePoint> removedAt;
    };

    bool settled(const Slot &slot, base::TimePoint now) const;
    Slots take(const std::string &upstream, const Slots &before, bool fresh) const;
    void noteFreed(base::TimePoint now);
    void forgetRemoved(base::TimePoint now);

    HolderId m_self;
    SlotTimes m_times;
    Revision m_revision = 0;
    Revision m_accepted = 0;
    SlotMap m_map;
    std::unordered_map<std::string, Slots> m_held;
    /// Upstreams of the revision, and those removed a short while ago.
    std::unordered_map<std::string, Presence> m_known;
};

} // namespace ibisfork::coord
