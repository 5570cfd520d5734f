#include <ibisfork/coord/slotmap.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibisfork::coord {

class SlotMapTest : public testing::Test
{
protected:
    static std::vector<SlotMember> members(unsigned count, const std::string &region = "r1")
    {
        std::vector<SlotMember> members;
        for (unsigned i = 0; i < count; ++i) {
            members.push_back({fmt::format("node-{}", i), region});
        }
        return members;
    }

    static std::vector<SlotUpstream> upstreams(unsigned count, std::uint32_t slots)
    {
        std::vector<SlotUpstream> upstreams;
        for (unsigned i = 0; i < count; ++i) {
            upstreams.push_back({fmt::format("engine-{}", i), "r1", slots});
        }
        return upstreams;
    }

    static std::size_t movedSlots(const SlotMap &before,
                                  const SlotMap &after,
                                  const std::vector<SlotUpstream> &upstreams)
    {
        std::size_t moved = 0;
        for (const auto &upstream : upstreams) {
            const auto &old = before.holders(upstream.id);
            const auto &current = after.holders(upstream.id);
            for (std::size_t slot = 0; slot < current.size(); ++slot) {
                moved += old[slot] == current[slot] ? 0 : 1;
            }
        }
        return moved;
    }

    /// Slots below @p limit that each of @p members holds.
    static std::vector<std::size_t> shares(const SlotMap &map,
                                           const std::vector<SlotMember> &members,
                                           const std::vector<SlotUpstream> &upstreams,
                                           std::uint32_t limit)
    {
        std::vector<std::size_t> shares;
        for (const auto &member : members) {
            std::size_t share = 0;
            for (const auto &upstream : upstreams) {
                const auto &holders = map.holders(upstream.id);
                const auto end = holders.begin() + std::min<std::ptrdiff_t>(limit, std::ssize(holders));
                share += static_cast<std::size_t>(std::count(holders.begin(), end, holderId(member.name)));
            }
            shares.push_back(share);
        }
        return shares;
    }

    SlotMap m_map;
};

TEST_F(SlotMapTest, update_sevenMembersAndColdUpstreams_leavesEachMemberASlot)
{
    const auto engines = upstreams(20, 16);
    m_map.update(members(7), engines);
    const auto cold = shares(m_map, members(7), engines, 2);
    EXPECT_GE(*std::min_element(cold.begin(), cold.end()), 1U);
    const auto warm = shares(m_map, members(7), engines, 16);
    const double even = 20.0 * 16 / 7;
    EXPECT_GE(*std::min_element(warm.begin(), warm.end()), even * 0.7);
    EXPECT_LE(*std::max_element(warm.begin(), warm.end()), even * 1.3);
}

TEST_F(SlotMapTest, update_memberLeaves_movesFewSlots)
{
    const auto engines = upstreams(100, 16);
    m_map.update(members(7), engines);
    const SlotMap before = m_map;
    m_map.update(members(6), engines);
    EXPECT_LE(movedSlots(before, m_map, engines), 100 * 16 * 2 / 7);
}

TEST_F(SlotMapTest, update_manyMembers_limitsAnUpstreamToMaxHoldersOfItsRegion)
{
    auto all = members(50, "r1");
    all.push_back({"elsewhere", "r2"});
    m_map.update(all, upstreams(20, 64));
    for (const auto &upstream : upstreams(20, 64)) {
        const auto &holders = m_map.holders(upstream.id);
        EXPECT_EQ(std::set(holders.begin(), holders.end()).size(), SlotMap::maxHolders);
        EXPECT_EQ(std::count(holders.begin(), holders.end(), holderId("elsewhere")), 0);
    }
}

TEST_F(SlotMapTest, update_regionWithoutMembers_givesItsSlotsToOtherRegions)
{
    m_map.update(members(3, "r2"), upstreams(1, 4));
    EXPECT_EQ(m_map.holders("engine-0").size(), 4U);
    m_map.update({}, upstreams(1, 4));
    EXPECT_TRUE(m_map.holders("engine-0").empty());
}

RC_GTEST_FIXTURE_PROP(SlotMapTest, update_anyHistory_matchesANewMap, (const std::vector<std::uint16_t> &masks))
{
    for (const auto mask : masks) {
        std::vector<SlotMember> present;
        for (unsigned i = 0; i < 12; ++i) {
            if ((mask >> i & 1U) != 0) {
                present.push_back({fmt::format("node-{}", i), i % 3 == 0 ? "r1" : "r2"});
            }
        }
        const auto engines = upstreams(1 + mask % 5, 1 + mask % 20);
        m_map.update(present, engines);
        SlotMap fresh;
        fresh.update(present, engines);
        for (const auto &upstream : engines) {
            RC_ASSERT(m_map.holders(upstream.id) == fresh.holders(upstream.id));
        }
    }
}

} // namespace ibisfork::coord
