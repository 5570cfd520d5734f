#include <ibisfork/coord/acceptance.h>

#include <algorithm>

namespace ibisfork::coord {

namespace {

/// A duration measured at another node is extended by 1/100, as the clock rates of two nodes may differ by up to 1 %.
constexpr int clockDriftDivisor = 100;

} // namespace

Acceptance::Acceptance(base::Duration confirmWithin)
    : m_confirmationExpiry(confirmWithin + confirmWithin / clockDriftDivisor)
    , m_memberLists{{0, {}}}
{ }

void Acceptance::restore(Revision accepted, MemberSet members)
{
    m_accepted = std::max(m_accepted, accepted);
    m_newest = std::max(m_newest, accepted);
    m_memberLists.clear();
    m_memberLists[accepted] = std::move(members);
}

void Acceptance::recordMembers(Revision revision, MemberSet members)
{
    m_newest = std::max(m_newest, revision);
    if (m_memberLists.empty() || m_memberLists.rbegin()->second != members) {
        m_memberLists[revision] = std::move(members);
    }
    prune();
}

void Acceptance::recordSkipped(Revision revision, MemberSet members)
{
    m_newest = std::max(m_newest, revision);
    m_memberLists.clear();
    m_memberLists[revision] = std::move(members);
}

void Acceptance::recordAcknowledged(const std::string &incarnation, Revision known, base::TimePoint heardAt)
{
    auto &heard = m_acknowledged[incarnation];
    if (known > m_accepted && (heard.empty() || heard.rbegin()->first < known)) {
        heard.emplace(known, heardAt);
    }
}

void Acceptance::recordEnded(const std::string &incarnation, base::TimePoint heardAt)
{
    m_ended.emplace(incarnation, heardAt);
}

void Acceptance::recordAccepted(Revision revision)
{
    if (revision > m_accepted) {
        m_accepted = revision;
        prune();
    }
}

Revision Acceptance::accepted(base::TimePoint now)
{
    std::set<Revision, std::greater<>> candidates{m_newest};
    for (const auto &[incarnation, heard] : m_acknowledged) {
        for (const auto &[revision, at] : heard) {
            if (revision <= m_newest) {
                candidates.insert(revision);
            }
        }
    }
    for (const auto revision : candidates) {
        if (revision <= m_accepted) {
            break;
        }
        if (canAccept(revision, now)) {
            recordAccepted(revision);
            break;
        }
    }
    return m_accepted;
}

std::vector<std::string> Acceptance::unacknowledged() const
{
    std::set<std::string> unacknowledgedMembers;
    if (m_newest <= m_accepted) {
        return {};
    }
    for (const auto &[since, members] : m_memberLists) {
        for (const auto &member : members) {
            if (!m_ended.contains(member) && !acknowledgedAt(member, m_newest)) {
                unacknowledgedMembers.insert(member);
            }
        }
    }
    return {unacknowledgedMembers.begin(), unacknowledgedMembers.end()};
}

bool Acceptance::canAccept(Revision revision, base::TimePoint now) const
{
    // The members of each list in force from the accepted revision up to, but not including, this one could still
    // confirm a node at an older revision.
    if (m_memberLists.empty() || m_memberLists.begin()->first > m_accepted) {
        return false;
    }
    return std::all_of(m_memberLists.begin(), m_memberLists.lower_bound(revision), [&](const auto &entry) {
        return cannotConfirmOlder(entry.second, revision, now);
    });
}

bool Acceptance::cannotConfirmOlder(const MemberSet &members, Revision revision, base::TimePoint now) const
{
    std::size_t acknowledged = 0;
    std::size_t expired = 0;
    for (const auto &member : members) {
        const auto ended = m_ended.find(member);
        const auto at = ended != m_ended.end() ? std::optional(ended->second) : acknowledgedAt(member, revision);
        acknowledged += at ? 1 : 0;
        // Reports that a member sent before it acknowledged or ended may confirm other nodes until they expire.
        expired += at && *at + m_confirmationExpiry <= now ? 1 : 0;
    }
    if (acknowledged == members.size()) {
        return true;
    }
    // Less than a majority is left that could report an older revision as the newest, and the earlier reports of the
    // other members have expired.
    return members.size() - expired < majorityOf(members.size());
}

std::optional<base::TimePoint> Acceptance::acknowledgedAt(const std::string &incarnation, Revision revision) const
{
    const auto heard = m_acknowledged.find(incarnation);
    if (heard == m_acknowledged.end()) {
        return std::nullopt;
    }
    const auto first = heard->second.lower_bound(revision);
    return first == heard->second.end() ? std::nullopt : std::optional(first->second);
}

void Acceptance::prune()
{
    // The list in force at the accepted revision is still needed to accept the next revision.
    auto inForce = m_memberLists.upper_bound(m_accepted);
    if (inForce != m_memberLists.begin()) {
        m_memberLists.erase(m_memberLists.begin(), std::prev(inForce));
    }
    for (auto &[incarnation, heard] : m_acknowledged) {
        heard.erase(heard.begin(), heard.upper_bound(m_accepted));
    }
    MemberSet listed;
    for (const auto &[since, members] : m_memberLists) {
        listed.insert(members.begin(), members.end());
    }
    std::erase_if(m_acknowledged, [&](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(m_ended, [&](const auto &entry) { return !listed.contains(entry.first); });
}

} // namespace ibisfork::coord
