#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibisfork::coord {

/// A member that can hold slots.
struct SlotMember
{
    std::string name;
    std::string region;
};

/// An upstream and its number of concurrency slots, numbered from 0. Each slot stands for one request at a time.
struct SlotUpstream
{
    std::string id;
    std::string region;
    std::uint32_t slots = 0;
};

/// Hash of a member's name.
using HolderId = std::uint64_t;
/// Hash of @p name, the same in all processes.
HolderId holderId(std::string_view name);

/// Assigns the slots of each upstream to members. The assignment is the same at all nodes for the same members and
/// upstreams.
///
/// The slots of an upstream go to at most maxHolders members, of the upstream's region if that has members. Any prefix
/// of the slots is spread over these members almost evenly, and a change of members moves few slots.
class SlotMap
{
public:
    /// Most members that share the slots of one upstream.
    static constexpr std::size_t maxHolders = 8;

    /// Hashes of member names; for an upstream, the holder of each slot by slot number.
    using Holders = std::vector<HolderId>;

    /// Sets the members and upstreams of a revision and recomputes only the assignments that their changes can affect.
    /// Returns the ids of the upstreams that were added or whose slots moved.
    std::vector<std::string> update(const std::vector<SlotMember> &members, const std::vector<SlotUpstream> &upstreams);

    /// The holder of each slot of @p upstream; empty if the upstream is unknown or there are no members.
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
        /// Sorted, so that equal sets of members compare equal.
        Holders members;
        bool changed = false;
    };

    void setMembers(const std::vector<SlotMember> &members);
    Region &membersFor(const std::string &region);
    bool reassign(Entry &entry, const SlotUpstream &upstream);

    std::unordered_map<std::string, Region> m_regions;
    Region m_allMembers;
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_generation = 0;
};

} // namespace ibisfork::coord
