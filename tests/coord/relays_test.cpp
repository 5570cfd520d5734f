#include <ibisfork/coord/relays.h>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace ibisfork::coord {

class RelaysTest : public testing::Test
{
protected:
    static MemberDomains members(std::size_t nodes, std::size_t domains)
    {
        MemberDomains members;
        for (std::size_t node = 0; node < nodes; ++node) {
            members[fmt::format("inc-{}", node)] = fmt::format("domain-{}", node % domains);
        }
        return members;
    }
};

TEST_F(RelaysTest, relays_manyMembers_areTwoForEachDomain)
{
    const auto all = members(380, 20);
    const Relays relays(all);
    std::map<std::string, int> counts;
    for (const auto &[incarnation, domain] : all) {
        counts[domain] += relays.isRelay(incarnation) ? 1 : 0;
    }
    for (const auto &[domain, count] : counts) {
        EXPECT_EQ(count, 2) << domain;
    }
}

TEST_F(RelaysTest, pollTargets_notARelay_areTheRelaysOfItsDomain)
{
    const auto all = members(380, 20);
    const Relays relays(all);
    for (const auto &[incarnation, domain] : all) {
        const auto targets = relays.pollTargets(incarnation, 0);
        EXPECT_EQ(targets.size(), relays.isRelay(incarnation) ? 20U : 2U);
        for (const auto &other : targets) {
            EXPECT_TRUE(relays.isRelay(other));
            EXPECT_NE(other, incarnation);
        }
    }
}

TEST_F(RelaysTest, pollTargets_relayInTwoRounds_reachesBothRelaysOfEveryDomain)
{
    const auto all = members(21, 3);
    const Relays relays(all);
    for (const auto &[incarnation, domain] : all) {
        if (relays.isRelay(incarnation)) {
            EXPECT_EQ(relays.allPollTargets(incarnation).size(), 5U);
        }
    }
}

TEST_F(RelaysTest, pollTargets_notAMember_isEmpty)
{
    EXPECT_TRUE(Relays(members(3, 3)).pollTargets("stranger", 0).empty());
}

} // namespace ibisfork::coord
