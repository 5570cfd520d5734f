#include <gtest/gtest.h>

#include "cutfleet.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::CutSpell;
using test::FirstTry;

namespace {

/// Of first tries at cut-off nodes, at least this part of the share is served that is served at the others.
constexpr double leastPart = 2.0 / 3.0;

struct Served
{
    unsigned served = 0;
    unsigned asked = 0;

    double share() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
};

Served servedOf(const std::vector<FirstTry> &tries,
                const std::string &service,
                const std::set<std::size_t> &cutNodes,
                bool isCut)
{
    Served out;
    for (const auto &item : tries) {
        if (item.service == service && cutNodes.contains(item.node) == isCut) {
            ++out.asked;
            out.served += item.status == 200 ? 1 : 0;
        }
    }
    return out;
}

} // namespace

/// Nodes cut off from engines, as a seed draws them: whose callers get what.
class CutShareTest : public test::CutFleetTest
{
protected:
    /// Least part of the others' share that the callers of cut-off nodes got of a service while @p spell was played.
    double worstPart(const CutSpell &spell)
    {
        const auto tries = play(spell);
        double worst = 1;
        for (const auto &[service, nodes] : spell.nodes) {
            const auto cut = servedOf(tries, service, nodes, true);
            const auto others = servedOf(tries, service, nodes, false);
            std::cout << test::describe(spell) << ": of " << service << " " << cut.served << "/" << cut.asked
                      << ", at others " << others.served << "/" << others.asked << std::endl;
            worst = std::min(worst, cut.share() / others.share());
        }
        playCalm(calmTime);
        return worst;
    }

    /// Nodes find out that their paths are back.
    static constexpr auto calmTime = 1500ms;
};

class CutShareOfSeedTest : public CutShareTest, public testing::WithParamInterface<std::uint64_t>
{
};

TEST_P(CutShareOfSeedTest, nodesReachNoEngine_firstTriesAreServedNearlyAsOftenAsAtOthers)
{
    const auto plan = test::drawCutPlan(GetParam());
    startNodes(plan);
    for (const auto &spell : plan.spells) {
        EXPECT_GE(worstPart(spell), leastPart) << test::describe(spell);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CutShareOfSeedTest, testing::Range<std::uint64_t>(1, 13));

TEST_F(CutShareTest, nodesDoNotKnowEachOther_theSharesTellIt)
{
    hideNodes();
    test::CutPlan plan{5, {{"s", 3}, {"t", 3}}, {}};
    CutSpell spell;
    spell.lasts = 3s;
    spell.nodes["s"] = {0, 1};
    plan.spells.push_back(spell);
    startNodes(plan);
    EXPECT_LT(worstPart(spell), leastPart);
}

} // namespace ibisfork::gateway
