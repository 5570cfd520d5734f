#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibisfork::coord {

/// Number of relays in each failure domain.
inline constexpr std::size_t relaysPerDomain = 2;

/// Failure domains of the members, by incarnation.
using MemberDomains = std::map<std::string, std::string>;

/// Chooses the relays of each failure domain: members that other members poll for the newest revision. The choice is
/// the same at all nodes with the same members.
class Relays
{
public:
    Relays() = default;
    explicit Relays(const MemberDomains &members);

    /// Whether @p incarnation is a relay; false if it is not a member.
    bool isRelay(const std::string &incarnation) const;
    /// The members that @p self polls in polling round @p round: the relays of its own domain and, if @p self is a
    /// relay, one relay of each other domain, alternating by round. Empty if @p self is not a member.
    std::vector<std::string> pollTargets(const std::string &self, std::uint64_t round) const;
    /// All members that @p self polls in any round, sorted.
    std::vector<std::string> allPollTargets(const std::string &self) const;

private:
    MemberDomains m_members;
    std::map<std::string, std::vector<std::string>> m_relays;
};

} // namespace ibisfork::coord
