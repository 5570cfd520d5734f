#include <ibisfork/coord/slottracker.h>

#include <algorithm>

namespace ibisfork::coord {

SlotTracker::SlotTracker(const std::string &node, SlotTimeBounds times)
    : m_self(holderId(node))
    , m_times(times)
{ }

void SlotTracker::update(Revision revision,
                         bool member,
                         const std::vector<SlotMember> &members,
                         const std::vector<SlotUpstream> &upstreams,
                         base::TimePoint now)
{
    if (revision <= m_revision && m_revision != 0) {
        return;
    }
    const bool isConsecutive = m_revision != 0 && revision == m_revision + 1;
    m_revision = revision;
    m_map.update(members, upstreams);
    std::unordered_map<std::string, Slots> held;
    for (const auto &upstream : upstreams) {
        const auto [known, isNew] = m_known.try_emplace(upstream.id);
        known->second = {revision, std::nullopt};
        if (!member) {
            continue;
        }
        const auto before = isConsecutive ? m_held.find(upstream.id) : m_held.end();
        auto slots = ownSlots(upstream.id, before == m_held.end() ? Slots() : before->second, isConsecutive && isNew);
        if (!slots.empty()) {
            held.emplace(upstream.id, std::move(slots));
        }
    }
    m_held = std::move(held);
    pruneRemoved(now);
    // The revision may have been accepted before this node received it.
    recordReleases(now);
}

SlotTracker::Slots SlotTracker::ownSlots(const std::string &upstream, const Slots &before, bool isNewUpstream) const
{
    Slots slots;
    const auto &holders = m_map.holders(upstream);
    for (std::uint32_t number = 0; number < holders.size(); ++number) {
        if (holders[number] != m_self) {
            continue;
        }
        const auto kept
            = std::find_if(before.begin(), before.end(), [&](const Slot &slot) { return slot.number == number; });
        if (kept != before.end()) {
            slots.push_back(*kept);
        } else {
            slots.push_back(
                {number, isNewUpstream ? std::nullopt : std::optional(m_revision), std::nullopt, std::nullopt});
        }
    }
    return slots;
}

void SlotTracker::recordAccepted(Revision accepted, base::TimePoint now)
{
    if (accepted > m_accepted) {
        m_accepted = accepted;
        recordReleases(now);
    }
}

void SlotTracker::recordReleases(base::TimePoint now)
{
    for (auto &[upstream, slots] : m_held) {
        for (auto &slot : slots) {
            if (slot.gainedIn && !slot.releasedAt && *slot.gainedIn <= m_accepted) {
                slot.releasedAt = now;
            }
        }
    }
    for (auto &[upstream, record] : m_known) {
        if (record.lastRevision < m_revision && record.lastRevision < m_accepted && !record.removedAt) {
            record.removedAt = now;
        }
    }
}

void SlotTracker::pruneRemoved(base::TimePoint now)
{
    // An upstream that is removed and soon added again may still run requests of its former holders.
    std::erase_if(m_known, [&](const auto &known) {
        const auto &removedAt = known.second.removedAt;
        return removedAt && now >= *removedAt + m_times.transit + m_times.longestRun;
    });
}

std::uint32_t SlotTracker::usable(const std::string &upstream, std::uint32_t limit, base::TimePoint now) const
{
    const auto held = m_held.find(upstream);
    if (held == m_held.end()) {
        return 0;
    }
    std::uint32_t usable = 0;
    std::uint32_t waiting = 0;
    std::uint32_t remainingRuns = 0;
    for (const auto &slot : held->second) {
        if (slot.number >= limit) {
            continue;
        }
        if (isUsable(slot, now)) {
            ++usable;
        } else if (slot.remainingRuns) {
            ++waiting;
            remainingRuns = std::max(remainingRuns, *slot.remainingRuns);
        }
    }
    // All remaining runs may occupy the slots of this node that are still waiting.
    return usable + waiting - std::min(waiting, remainingRuns);
}

void SlotTracker::recordRuns(const std::string &upstream, std::uint32_t runs, base::TimePoint madeAt)
{
    const auto held = m_held.find(upstream);
    if (held == m_held.end()) {
        return;
    }
    for (auto &slot : held->second) {
        if (slot.releasedAt && madeAt >= *slot.releasedAt + m_times.transit) {
            slot.remainingRuns = std::min(slot.remainingRuns.value_or(runs), runs);
        }
    }
}

bool SlotTracker::hasPendingSlots(const std::string &upstream, base::TimePoint now) const
{
    const auto held = m_held.find(upstream);
    return held != m_held.end() && std::any_of(held->second.begin(), held->second.end(), [&](const Slot &slot) {
               return !isUsable(slot, now) && slot.remainingRuns.value_or(1) > 0;
           });
}

bool SlotTracker::isUsable(const Slot &slot, base::TimePoint now) const
{
    return !slot.gainedIn || (slot.releasedAt && now >= *slot.releasedAt + m_times.transit + m_times.longestRun);
}

} // namespace ibisfork::coord
