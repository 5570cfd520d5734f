#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>
#include <ibisfork/coord/revisionreports.h>

namespace ibisfork::coord {

/// Computes the newest accepted revision. A revision is accepted once no node can be confirmed (see Confirmation) at an
/// older revision any more. A node is named by its incarnation, which is unique to one process.
class Acceptance
{
public:
    /// @p confirmWithin is how long a confirmation lasts, the same at all nodes. The clock rates of two nodes may
    /// differ by up to 1 %.
    explicit Acceptance(base::Duration confirmWithin);

    /// Restores the accepted revision and its member list from the values stored in the table.
    void restore(Revision accepted, MemberSet members);
    /// Records the member list in force from @p revision on. Must be called for each revision in order.
    void recordMembers(Revision revision, MemberSet members);
    /// Records the member list at @p revision when the revisions before were skipped. As the member lists in between
    /// are unknown, no newer revision is accepted here until another node reports one at or above @p revision as
    /// accepted.
    void recordSkipped(Revision revision, MemberSet members);
    /// Records, as heard at @p heardAt, that @p incarnation dispatches no requests under a revision older than @p
    /// known.
    void recordAcknowledged(const std::string &incarnation, Revision known, base::TimePoint heardAt);
    /// Records that the process of @p incarnation had ended by @p heardAt.
    void recordEnded(const std::string &incarnation, base::TimePoint heardAt);
    /// Records that another node or the table reported @p revision as accepted.
    void recordAccepted(Revision revision);

    /// Re-evaluates at @p now and returns the newest accepted revision.
    Revision accepted(base::TimePoint now);
    /// The newest accepted revision as of the last evaluation.
    Revision lastAccepted() const { return m_accepted; }
    /// Incarnations that have neither acknowledged the newest revision nor are known to have ended; empty if that
    /// revision is accepted.
    std::vector<std::string> unacknowledged() const;

private:
    bool canAccept(Revision revision, base::TimePoint now) const;
    bool cannotConfirmOlder(const MemberSet &members, Revision revision, base::TimePoint now) const;
    std::optional<base::TimePoint> acknowledgedAt(const std::string &incarnation, Revision revision) const;
    void prune();

    base::Duration m_confirmationExpiry;
    Revision m_accepted = 0;
    Revision m_newest = 0;
    /// Member lists by the revision at which each came into force.
    std::map<Revision, MemberSet> m_memberLists;
    /// For each incarnation, the revisions that it acknowledged and when each was first heard.
    std::map<std::string, std::map<Revision, base::TimePoint>> m_acknowledged;
    /// When each incarnation was heard to have ended.
    std::map<std::string, base::TimePoint> m_ended;
};

} // namespace ibisfork::coord
