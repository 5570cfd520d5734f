#include <ibisfork/coord/relays.h>

#include <algorithm>
#include <set>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::coord {

Relays::Relays(const MemberDomains &members)
    : m_members(members)
{
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const auto &[incarnation, domain] : members) {
        byDomain[domain].push_back(incarnation);
    }
    for (const auto &[domain, candidates] : byDomain) {
        m_relays[domain] = rendezvousChoose("relay/" + domain, candidates, relaysPerDomain);
    }
}

bool Relays::isRelay(const std::string &incarnation) const
{
    const auto member = m_members.find(incarnation);
    if (member == m_members.end()) {
        return false;
    }
    const auto &relays = m_relays.at(member->second);
    return std::find(relays.begin(), relays.end(), incarnation) != relays.end();
}

std::vector<std::string> Relays::pollTargets(const std::string &self, std::uint64_t round) const
{
    const auto member = m_members.find(self);
    if (member == m_members.end()) {
        return {};
    }
    const bool relay = isRelay(self);
    std::vector<std::string> targets;
    for (const auto &[domain, relays] : m_relays) {
        if (domain == member->second) {
            targets.insert(targets.end(), relays.begin(), relays.end());
        } else if (relay) {
            targets.push_back(relays[round % relays.size()]);
        }
    }
    std::erase(targets, self);
    return targets;
}

std::vector<std::string> Relays::allPollTargets(const std::string &self) const
{
    std::set<std::string> targets;
    for (std::uint64_t round = 0; round < relaysPerDomain; ++round) {
        const auto once = pollTargets(self, round);
        targets.insert(once.begin(), once.end());
    }
    return {targets.begin(), targets.end()};
}

} // namespace ibisfork::coord
