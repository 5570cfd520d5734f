#pragma once

#include <deque>
#include <functional>
#include <optional>

#include <ibisfork/coord/acceptance.h>
#include <ibisfork/coord/confirmation.h>
#include <ibisfork/coord/relays.h>
#include <ibisfork/coord/replica.h>
#include <ibisfork/coord/revisionreports.h>

#include "fleettask/memberhistory.h"
#include "platform/fleetstore.h"

namespace ibisfork::fleettask {

/// What a node knows of the fleet: its copy of the rows, who is heard, what is confirmed and accepted.
/// Plain code; all times are instants on this node's clock.
class FleetState
{
public:
    FleetState(std::string incarnation, base::Duration confirmWithin);

    /// @p advanced is called at each revision taken.
    void setAdvanced(std::function<void()> advanced) { m_advanced = std::move(advanced); }

    const std::string &incarnation() const { return m_incarnation; }
    coord::Revision revision() const { return m_replica.revision(); }
    const coord::Replica &replica() const { return m_replica; }
    const MemberHistory &members() const { return m_members; }
    const coord::RevisionReports &statements() const { return m_statements; }
    const coord::Relays &relays() const { return m_relays; }
    coord::Revision newest() const { return m_confirmation.newestKnown(); }
    coord::Revision accepted() const { return m_acceptance.lastAccepted(); }
    std::vector<std::string> awaited() const { return m_acceptance.unacknowledged(); }
    /// The serving task dispatches nothing under an older revision than this.
    coord::Revision served() const { return m_served; }
    bool isMember() const { return m_members.find(m_incarnation) != nullptr; }
    bool isRelay() const { return m_relays.isRelay(m_incarnation); }
    bool behind() const { return revision() < newest(); }

    /// Starts from the table's rows and the changes after the accepted revision that it keeps.
    /// Returns whether the revision advanced, as all of these do.
    bool start(const platform::StoredFleet &stored, const std::vector<coord::Change> &changes, base::TimePoint now);
    bool apply(coord::Snapshot snapshot);
    /// Takes those of @p changes that follow the revision held.
    bool apply(const std::vector<coord::Change> &changes, base::TimePoint now);

    /// Notes that @p newest was the newest revision at @p asOf.
    void confirmNewest(coord::Revision newest, base::TimePoint asOf) { m_confirmation.recordNewest(newest, asOf); }
    /// Notes that a revision exists, without knowing whether it is the newest.
    void recordExists(coord::Revision revision);
    void recordAccepted(coord::Revision revision) { m_acceptance.recordAccepted(revision); }
    /// Notes what another node stated, at @p asOf at the earliest.
    void recordStatement(const std::string &incarnation,
                         coord::Revision known,
                         base::TimePoint asOf,
                         base::TimePoint now);
    void recordServed(coord::Revision revision, base::TimePoint now);
    void recordEnded(const std::string &incarnation, base::TimePoint now)
    {
        m_acceptance.recordEnded(incarnation, now);
    }
    /// Draws what follows from the statements heard: confirmation by a majority, and acceptance.
    void evaluate(base::TimePoint now);

    /// Until when work may be dispatched under the revision held; nothing where it may not.
    std::optional<base::TimePoint> confirmedUntil() const;
    /// Since when the newest revision is known to be the newest; nothing if that is not known.
    std::optional<base::TimePoint> newestAsOf() const { return m_confirmation.newestAsOf(); }
    /// The changes after @p held, if all are still kept.
    std::optional<std::vector<coord::Change>> changesAfter(coord::Revision held) const;
    /// The revision of a recent change.
    std::optional<coord::Revision> findChange(const std::string &id) const;

private:
    void follow(const coord::Change &change, base::TimePoint now);
    void advance();

    std::string m_incarnation;
    std::function<void()> m_advanced = [] {
    };
    coord::Replica m_replica;
    coord::Confirmation m_confirmation;
    coord::Acceptance m_acceptance;
    coord::RevisionReports m_statements;
    coord::Relays m_relays;
    MemberHistory m_members;
    std::deque<coord::Change> m_recent;
    coord::Revision m_served = 0;
};

} // namespace ibisfork::fleettask
