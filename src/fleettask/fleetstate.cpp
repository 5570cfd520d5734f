#include "fleettask/fleetstate.h"

#include <algorithm>

namespace ibisfork::fleettask {

namespace {

/// Changes kept for nodes that ask for what they lack.
constexpr std::size_t recentChanges = 256;

} // namespace

FleetState::FleetState(std::string incarnation, base::Duration confirmWithin)
    : m_incarnation(std::move(incarnation))
    , m_confirmation(confirmWithin)
    , m_acceptance(confirmWithin)
{ }

bool FleetState::start(const platform::StoredFleet &stored,
                       const std::vector<coord::Change> &changes,
                       base::TimePoint now)
{
    const auto from = stored.accepted.revision;
    if (stored.snapshot.revision <= revision()) {
        return false;
    }
    const bool whole = stored.snapshot.revision == from || (!changes.empty() && changes.front().revision == from + 1);
    if (!whole) {
        return apply(stored.snapshot);
    }
    m_members.reset(stored.accepted.memberRows);
    m_acceptance.restore(from, m_members.incarnations());
    for (const auto &change : changes) {
        if (change.revision <= stored.snapshot.revision) {
            follow(change, now);
        }
    }
    m_replica.apply(stored.snapshot);
    advance();
    return true;
}

bool FleetState::apply(coord::Snapshot snapshot)
{
    if (!m_replica.apply(std::move(snapshot))) {
        return false;
    }
    m_recent.clear();
    m_members.reset(m_replica.rows());
    m_acceptance.recordSkipped(revision(), m_members.incarnations());
    advance();
    return true;
}

bool FleetState::apply(const std::vector<coord::Change> &changes, base::TimePoint now)
{
    const auto before = revision();
    for (const auto &change : changes) {
        if (change.revision == revision() + 1) {
            m_replica.apply(change);
            follow(change, now);
            advance();
        }
    }
    return revision() > before;
}

void FleetState::follow(const coord::Change &change, base::TimePoint now)
{
    for (const auto &incarnation : m_members.apply(change)) {
        m_acceptance.recordEnded(incarnation, now);
    }
    m_acceptance.recordMembers(change.revision, m_members.incarnations());
    m_recent.push_back(change);
    if (m_recent.size() > recentChanges) {
        m_recent.pop_front();
    }
}

void FleetState::advance()
{
    recordExists(revision());
    coord::MemberDomains domains;
    for (const auto &[node, member] : m_members.members()) {
        domains[member.incarnation] = member.failureDomain;
    }
    m_relays = coord::Relays(domains);
    m_statements.keepOnly(m_members.incarnations());
    m_advanced();
}

void FleetState::recordExists(coord::Revision revision)
{
    if (revision > newest()) {
        m_confirmation.recordNewest(revision, base::TimePoint{});
    }
}

void FleetState::recordStatement(const std::string &incarnation,
                                 coord::Revision known,
                                 base::TimePoint asOf,
                                 base::TimePoint now)
{
    m_statements.note(incarnation, known, asOf);
    m_acceptance.recordAcknowledged(incarnation, known, now);
    recordExists(known);
}

void FleetState::recordServed(coord::Revision revision, base::TimePoint now)
{
    m_served = std::max(m_served, revision);
    evaluate(now);
}

void FleetState::evaluate(base::TimePoint now)
{
    m_statements.note(m_incarnation, m_served, now);
    m_acceptance.recordAcknowledged(m_incarnation, m_served, now);
    if (!behind()) {
        if (const auto asOf = m_statements.majorityAsOf(m_members.incarnations(), revision())) {
            m_confirmation.recordNewest(revision(), *asOf);
        }
    }
    m_acceptance.accepted(now);
}

std::optional<base::TimePoint> FleetState::confirmedUntil() const
{
    return isMember() ? m_confirmation.confirmedUntil(revision()) : std::nullopt;
}

std::optional<std::vector<coord::Change>> FleetState::changesAfter(coord::Revision held) const
{
    if (held >= revision()) {
        return std::vector<coord::Change>{};
    }
    if (m_recent.empty() || m_recent.front().revision > held + 1) {
        return std::nullopt;
    }
    std::vector<coord::Change> changes;
    std::copy_if(m_recent.begin(), m_recent.end(), std::back_inserter(changes), [held](const coord::Change &change) {
        return change.revision > held;
    });
    return changes;
}

std::optional<coord::Revision> FleetState::findChange(const std::string &id) const
{
    for (const auto &change : m_recent) {
        if (change.id == id) {
            return change.revision;
        }
    }
    return std::nullopt;
}

} // namespace ibisfork::fleettask
