#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// Incarnations of the members at one revision.
using MemberSet = std::set<std::string>;

/// The smallest number that is more than half of @p members.
std::size_t majorityOf(std::size_t members);

/// A member's report that it dispatches no requests under a revision older than known.
struct RevisionReport
{
    Revision known = 0;
    /// Lower bound of the time of the report, on this node's clock.
    base::TimePoint asOf{};
};

/// The newest report of each member, received directly or through other members.
class RevisionReports
{
public:
    /// Records a report of @p incarnation; ignores it if a newer one is held.
    void note(const std::string &incarnation, Revision known, base::TimePoint asOf);

    /// The latest time at or after which a majority of @p members reported that they know of no revision newer than
    /// @p held; nullopt if there are too few reports.
    std::optional<base::TimePoint> majorityAsOf(const MemberSet &members, Revision held) const;

    /// Drops the reports of incarnations that are not in @p members.
    void keepOnly(const MemberSet &members);

    const std::map<std::string, RevisionReport> &all() const { return m_reports; }

private:
    std::map<std::string, RevisionReport> m_reports;
};

} // namespace ibisfork::coord
