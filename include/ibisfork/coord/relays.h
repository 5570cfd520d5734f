#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibisfork::coord {

/// Relays of each failure domain.
inline constexpr std::size_t relaysPerDomain = 2;

/// Failure domains of the members, by incarnation.
using MemberDomains = std::map<std::string, std::string>;

/// Who relays: incarnations by failure domain, the same at every node that holds the same members.
class Relays
{
public:
    Relays() = default;
    explicit Relays(const MemberDomains &members);

    bool isRelay(const std::string &incarnation) const;
    /// The members that @p self asks in its @p round-th round: the relays of its domain and,
    /// if it is a relay itself, one relay of each other domain in turn.
    std::vector<std::string> askedBy(const std::string &self, std::uint64_t round) const;
    /// All members that @p self may ask, in any round.
    std::vector<std::string> everAskedBy(const std::string &self) const;

private:
    MemberDomains m_members;
    std::map<std::string, std::vector<std::string>> m_relays;
};

} // namespace ibisfork::coord
