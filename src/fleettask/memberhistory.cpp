#include "fleettask/memberhistory.h"

#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::fleettask {

namespace {

bool isMemberRow(const std::string &key)
{
    return key.starts_with(fleet::rowprefix::member);
}

} // namespace

void MemberHistory::reset(const coord::Rows &rows)
{
    m_rows.clear();
    for (const auto &[key, value] : rows) {
        if (isMemberRow(key)) {
            m_rows[key] = value;
        }
    }
    readMembers();
}

std::vector<std::string> MemberHistory::apply(const coord::Change &change)
{
    std::vector<std::string> ended;
    for (const auto *prefix : {changeid::leave, changeid::gone}) {
        if (change.id.starts_with(prefix)) {
            ended.push_back(change.id.substr(std::string(prefix).size()));
        }
    }
    const auto before = m_members;
    for (const auto &row : change.rows) {
        if (!isMemberRow(row.key)) {
            continue;
        }
        if (row.value) {
            m_rows[row.key] = *row.value;
        } else {
            m_rows.erase(row.key);
        }
    }
    readMembers();
    for (const auto &[node, member] : m_members) {
        const auto earlier = before.find(node);
        // One process at a time can listen on an address.
        if (earlier != before.end() && earlier->second.incarnation != member.incarnation
            && earlier->second.peerAddress == member.peerAddress) {
            ended.push_back(earlier->second.incarnation);
        }
    }
    return ended;
}

const fleet::Member *MemberHistory::find(const std::string &incarnation) const
{
    for (const auto &[node, member] : m_members) {
        if (member.incarnation == incarnation) {
            return &member;
        }
    }
    return nullptr;
}

coord::MemberSet MemberHistory::incarnations() const
{
    coord::MemberSet incarnations;
    for (const auto &[node, member] : m_members) {
        incarnations.insert(member.incarnation);
    }
    return incarnations;
}

void MemberHistory::readMembers()
{
    m_members = fleet::configFromRows({0, m_rows}).members;
}

} // namespace ibisfork::fleettask
