#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// Incarnations of the members at a revision.
using MemberSet = std::set<std::string>;

/// The smallest number of members that is more than half of @p members.
std::size_t majorityOf(std::size_t members);

/// What a member stated: it dispatches nothing under a revision older than known.
struct Statement
{
    Revision known = 0;
    /// The statement is no older than this, on this node's clock.
    base::TimePoint asOf{};
};

/// The newest statement heard of each member, directly or through others.
class Statements
{
public:
    void note(const std::string &incarnation, Revision known, base::TimePoint asOf);

    /// The instant since which a majority of @p members stated that they know nothing newer than @p held.
    std::optional<base::TimePoint> majorityAsOf(const MemberSet &members, Revision held) const;

    /// Drops what was heard of incarnations that are not in @p members.
    void keepOnly(const MemberSet &members);

    const std::map<std::string, Statement> &all() const { return m_statements; }

private:
    std::map<std::string, Statement> m_statements;
};

} // namespace ibisfork::coord
