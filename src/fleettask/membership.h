#pragma once

#include <set>

#include "fleettask/changedesk.h"
#include "fleettask/fleetstate.h"
#include "platform/vmlist.h"
#include "settings/settings.h"

namespace ibisfork::fleettask {

/// Has this node join and leave, and as a relay removes members that are gone or silent.
class Membership
{
public:
    Membership(const settings::Settings &settings, FleetState &state, ChangeDesk &desk, platform::VmList &vms);

    /// Where other nodes reach this one; set before it joins.
    void setPeerAddress(const net::Address &address) { m_peerAddress = address; }
    /// Joins unless this node is a member already or has left.
    void joinOnce();
    /// Takes this node's row away; @p left is called in any case.
    void leave(std::function<void()> left);
    bool left() const { return m_left; }
    /// For relays: removes members that the VM list calls gone, and silent ones.
    void removeDead(base::TimePoint now);
    /// Whether some member was not heard of for a while, so that others' word of it is wanted.
    bool suspects(base::TimePoint now) const;

private:
    std::vector<const fleet::Member *> silentFor(base::Duration silence, base::TimePoint now) const;
    void recordMembers(base::TimePoint now);
    void onVms(const std::vector<platform::Vm> &vms);
    void removeSilent(base::TimePoint now);
    void remove(const fleet::Member &member, const std::string &id, const std::string &reason);

    const settings::Settings &m_settings;
    FleetState &m_state;
    ChangeDesk &m_desk;
    platform::VmList &m_vms;
    net::Address m_peerAddress;
    bool m_joining = false;
    /// Incarnations whose removal is under way.
    std::set<std::string> m_removing;
    bool m_left = false;
    /// Since when this node is a relay; silence before that tells nothing.
    std::optional<base::TimePoint> m_relaySince;
    /// Since when this relay knows each incarnation as a member.
    std::map<std::string, base::TimePoint> m_knownSince;
};

} // namespace ibisfork::fleettask
