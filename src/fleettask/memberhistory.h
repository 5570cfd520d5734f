#pragma once

#include <map>
#include <string>
#include <vector>

#include <ibisfork/coord/change.h>
#include <ibisfork/coord/revisionreports.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::fleettask {

/// Ids of the changes by which members come and go.
namespace changeid {
inline constexpr const char *join = "join-";
/// Removes a member that has ended: by itself when drained, or by the platform's or an operator's word.
inline constexpr const char *leave = "leave-";
inline constexpr const char *gone = "gone-";
/// Removes a member that nobody hears; it may still run.
inline constexpr const char *silent = "silent-";
} // namespace changeid

/// The members as they stood at one revision after the other.
class MemberHistory
{
public:
    /// Starts anew from the member rows among @p rows.
    void reset(const coord::Rows &rows);
    /// Follows @p change; gives the incarnations that it shows to have ended.
    std::vector<std::string> apply(const coord::Change &change);

    /// The members by node name.
    const std::map<std::string, fleet::Member> &members() const { return m_members; }
    const fleet::Member *find(const std::string &incarnation) const;
    coord::MemberSet incarnations() const;
    const coord::Rows &rows() const { return m_rows; }

private:
    void readMembers();

    coord::Rows m_rows;
    std::map<std::string, fleet::Member> m_members;
};

} // namespace ibisfork::fleettask
