#include <gtest/gtest.h>

#include "cutfleet.h"
#include "gateway/forwardheaders.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::CutSpell;

/// Three nodes, of which some lose their paths, and what happens before they know of it.
class CutBeginTest : public test::CutFleetTest
{
protected:
    CutBeginTest()
    {
        startNodes({3, {{"s", 3}, {"t", 6}}, {}});
        playCalm(1s);
    }

    static CutSpell lossOf(const std::set<std::size_t> &nodes, test::PathCut way = test::PathCut::Silent)
    {
        CutSpell spell;
        spell.way = way;
        spell.nodes = {{"s", nodes}, {"t", nodes}};
        return spell;
    }

    /// How many of eight requests of both services, sent to the first node one after the other, are served.
    int servedOfEightThatMayRunOnce()
    {
        int served = 0;
        for (int i = 0; i < 4; ++i) {
            served += askOnce(0, "enter") == 200 ? 1 : 0;
            served += askOnce(0, "order") == 200 ? 1 : 0;
        }
        return served;
    }
};

TEST_F(CutBeginTest, requestThatMayRunOnce_isNotLostOnAConnectionFromBeforeTheCut)
{
    runFor(200ms);
    cut(lossOf({0}));
    EXPECT_EQ(servedOfEightThatMayRunOnce(), 8);
}

TEST_F(CutBeginTest, requestThatMayRunOnce_pathResetsConnections_isServed)
{
    runFor(200ms);
    cut(lossOf({0}, test::PathCut::Reset));
    EXPECT_EQ(servedOfEightThatMayRunOnce(), 8);
}

TEST_F(CutBeginTest, nodeThatDoesNotKnowYetOfItsCut_refusesAForwardedRequestSoThatAnotherIsAsked)
{
    // So long that no connection from before is used.
    runFor(1600ms);
    cut(lossOf({1}));
    const auto began = base::monotonicNow();
    const auto answer = forward(1, request("POST", "/order/x", "Forward-Runs-Left: 1\r\nForward-Counted: 1\r\n", "q"));
    EXPECT_TRUE(readForwardRefusal(answer.headers)) << answer.status;
    EXPECT_LT(base::monotonicNow() - began, 1000ms);
}

TEST_F(CutBeginTest, pathResetsConnections_requestsAreNotSuspectedOfEndingEngines)
{
    cut(lossOf({0}, test::PathCut::Reset));
    askOnce(0, "chat");
    // Longer than it takes to find out whether an engine accepts connections.
    runFor(600ms);
    EXPECT_EQ(crashesReported(0), 0U);
    heal();
    playCalm(1s);
    EXPECT_EQ(crashesReported(0), 0U);
}

} // namespace ibisfork::gateway
