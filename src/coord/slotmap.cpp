#include <ibisfork/coord/slotmap.h>

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace ibisfork::coord {

namespace {

/// A holder with its rendezvous weight.
struct WeightedHolder
{
    std::uint64_t weight = 0;
    HolderId holder = 0;

    bool operator<(const WeightedHolder &other) const
    {
        return weight != other.weight ? weight < other.weight : holder < other.holder;
    }
};

/// Slots that a holder may have beyond its even share of any prefix. With 0, one change of members would move most
/// slots to another holder; with a much higher value, some holders would get no slots.
constexpr std::uint32_t maxExcessSlots = 2;

std::uint64_t hashWithSeed(std::uint64_t key, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&key, sizeof(key), seed);
}

/// The members with the highest weights for @p key, in descending order of weight.
std::vector<WeightedHolder> chooseHolders(std::uint64_t key, const SlotMap::Holders &members)
{
    std::vector<WeightedHolder> weighted;
    weighted.reserve(members.size());
    for (const auto member : members) {
        weighted.push_back({hashWithSeed(member, key), member});
    }
    const auto count = std::min(SlotMap::maxHolders, weighted.size());
    const auto heavier = [](const WeightedHolder &left, const WeightedHolder &right) {
        return right < left;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(), heavier);
    weighted.resize(count);
    return weighted;
}

/// Assigns each of @p slots slots to the holder of the highest weight for the slot that is below its share of the
/// prefix.
SlotMap::Holders assignSlots(const std::vector<WeightedHolder> &holders, std::uint32_t slots)
{
    SlotMap::Holders result;
    result.reserve(slots);
    std::array<std::uint32_t, SlotMap::maxHolders> assigned{};
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        const auto most = slot / static_cast<std::uint32_t>(holders.size()) + maxExcessSlots;
        WeightedHolder best;
        std::size_t bestIndex = 0;
        for (std::size_t index = 0; index < holders.size(); ++index) {
            const WeightedHolder weighted{hashWithSeed(holders[index].weight, slot), holders[index].holder};
            if (assigned[index] < most && best < weighted) {
                best = weighted;
                bestIndex = index;
            }
        }
        ++assigned[bestIndex];
        result.push_back(best.holder);
    }
    return result;
}

} // namespace

HolderId holderId(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::vector<std::string> SlotMap::update(const std::vector<SlotMember> &members,
                                         const std::vector<SlotUpstream> &upstreams)
{
    setMembers(members);
    ++m_generation;
    std::vector<std::string> changed;
    for (const auto &upstream : upstreams) {
        const auto [found, added] = m_entries.try_emplace(upstream.id);
        auto &entry = found->second;
        entry.generation = m_generation;
        const bool touched = added || entry.region != upstream.region || entry.holders.size() != upstream.slots
            || membersFor(upstream.region).changed;
        if (touched && (reassign(entry, upstream) || added)) {
            changed.push_back(upstream.id);
        }
    }
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.generation != m_generation; });
    return changed;
}

const SlotMap::Holders &SlotMap::holders(const std::string &upstream) const
{
    static const Holders none;
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? none : found->second.holders;
}

void SlotMap::setMembers(const std::vector<SlotMember> &members)
{
    std::unordered_map<std::string, Holders> byRegion;
    Holders allMembers;
    for (const auto &member : members) {
        const auto id = holderId(member.name);
        byRegion[member.region].push_back(id);
        allMembers.push_back(id);
    }
    for (auto &[name, region] : m_regions) {
        byRegion.try_emplace(name);
    }
    const auto replaceMembers = [](Region &region, Holders &current) {
        std::sort(current.begin(), current.end());
        region.changed = region.members != current;
        region.members = std::move(current);
    };
    for (auto &[name, holders] : byRegion) {
        replaceMembers(m_regions[name], holders);
    }
    replaceMembers(m_allMembers, allMembers);
}

SlotMap::Region &SlotMap::membersFor(const std::string &region)
{
    auto &own = m_regions[region];
    if (!own.members.empty()) {
        return own;
    }
    // If the region has just lost its last member, its upstreams move to all members and must be assigned anew.
    m_allMembers.changed = m_allMembers.changed || own.changed;
    return m_allMembers;
}

bool SlotMap::reassign(Entry &entry, const SlotUpstream &upstream)
{
    const auto key = XXH3_64bits(upstream.id.data(), upstream.id.size());
    const auto holders = chooseHolders(key, membersFor(upstream.region).members);
    auto current = holders.empty() ? Holders() : assignSlots(holders, upstream.slots);
    entry.region = upstream.region;
    const bool moved = entry.holders != current;
    entry.holders = std::move(current);
    return moved;
}

} // namespace ibisfork::coord
