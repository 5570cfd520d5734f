#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibisfork::coord {

/// A member that slots are given to.
struct SlotMember
{
    std::string name;
    std::string region;
};

/// An upstream whose concurrency is cut into slots, numbered from 0.
struct SlotUpstream
{
    std::string id;
    std::string region;
    std::uint32_t slots = 0;
};

/// Stands for a member's name in a SlotMap.
using HolderId = std::uint64_t;
HolderId holderId(std::string_view name);

/// Which member holds which slot of each upstream: the same at all nodes for the same members and upstreams.
///
/// An upstream's slots go to few members, of its region where it has any. Any prefix of its slots is spread over
/// them almost evenly, and a change of members moves few slots.
class SlotMap
{
public:
    /// Most members that share one upstream.
    static constexpr std::size_t maxHolders = 8;

    using Holders = std::vector<HolderId>;

    /// Takes the members and upstreams of a revision; works out anew only what their changes can touch.
    /// Returns the upstreams that were added or whose slots moved.
    std::vector<std::string> update(const std::vector<SlotMember> &members, const std::vector<SlotUpstream> &upstreams);

    /// The holder of each slot of @p upstream; empty for an unknown upstream or without members.
    const Holders &holders(const std::string &upstream) const;

private:
    struct Entry
    {
        std::string region;
        std::uint64_t generation = 0;
        Holders holders;
    };
    struct Region
    {
        /// Sorted, so that the same members compare equal.
        Holders members;
        bool changed = false;
    };

    void takeMembers(const std::vector<SlotMember> &members);
    Region &poolFor(const std::string &region);
    bool refresh(Entry &entry, const SlotUpstream &upstream);

    std::unordered_map<std::string, Region> m_regions;
    Region m_everyone;
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_generation = 0;
};

} // namespace ibisfork::coord
