#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>
#include <ibisfork/coord/statements.h>

namespace ibisfork::coord {

/// Tells which revision is accepted: no node can be confirmed at an older one, now or later.
class Acceptance
{
public:
    /// @p confirmWithin is the fleet's; nodes' clocks may differ in rate by one in a hundred.
    explicit Acceptance(base::Duration confirmWithin);

    /// Starts from an accepted revision and the members at it, as kept in the table.
    void restore(Revision accepted, MemberSet members);
    /// Notes the members from @p revision on; called for each revision in order.
    void membersAt(Revision revision, MemberSet members);
    /// Notes that the revisions up to @p revision were skipped, so that the members between are not known.
    void skippedTo(Revision revision, MemberSet members);
    /// Notes that @p incarnation dispatches nothing under a revision older than @p known.
    void acknowledged(const std::string &incarnation, Revision known, base::TimePoint heardAt);
    /// Notes that the process of @p incarnation had ended by @p heardAt.
    void ended(const std::string &incarnation, base::TimePoint heardAt);
    /// Takes over that @p revision is accepted.
    void learn(Revision revision);

    /// Re-evaluates and gives the newest accepted revision.
    Revision accepted(base::TimePoint now);
    Revision lastAccepted() const { return m_accepted; }
    /// Incarnations that have not acknowledged the newest revision and are not known to have ended.
    std::vector<std::string> awaited() const;

private:
    bool holds(Revision revision, base::TimePoint now) const;
    bool unconfirmable(const MemberSet &members, Revision revision, base::TimePoint now) const;
    std::optional<base::TimePoint> acknowledgedAt(const std::string &incarnation, Revision revision) const;
    void prune();

    base::Duration m_lapse;
    Revision m_accepted = 0;
    Revision m_newest = 0;
    /// Members by the revision at which the list came into force.
    std::map<Revision, MemberSet> m_lists;
    /// When each incarnation was first heard to know a revision.
    std::map<std::string, std::map<Revision, base::TimePoint>> m_acknowledged;
    std::map<std::string, base::TimePoint> m_ended;
};

} // namespace ibisfork::coord
