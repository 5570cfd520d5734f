#include <gtest/gtest.h>

#include "peernodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// What becomes of each run of a request that goes from node to node.
struct RunLoss
{
    const char *name;
    test::EngineReply reply;
};

/// Nodes that reach one engine each, where every run is lost, and one that may reach none.
class ForwardRunsTest : public test::PeerNodesTest, public testing::WithParamInterface<RunLoss>
{
protected:
    /// Attempts that the route of the requests allows.
    static constexpr std::size_t maxAttempts = 3;
    static constexpr std::size_t peers = 5;

    void startNodesThatReachOneEngine(Cut first)
    {
        startNodes(std::vector<Cut>(peers + 1, Cut::Refused));
        listEngine(*m_nodes.front()->store, 0, first);
        for (std::size_t i = 1; i < m_nodes.size(); ++i) {
            listEngine(*m_nodes[i]->store, 0, Cut::None);
        }
        runFor(800ms);
        for (auto &item : m_engines) {
            item.second->willReply({GetParam().reply});
            item.second->willResumeWith(GetParam().reply);
        }
    }

    std::size_t runs() const { return runsOf("/chat/x"); }
};

TEST_P(ForwardRunsTest, nodeReachesNoEngine_runsAtAllOtherNodesTogether_stayWithinItsAttempts)
{
    startNodesThatReachOneEngine(Cut::Refused);
    const auto answer = askCut(request("POST", "/chat/x", {}, "abc"));
    EXPECT_GT(runs(), 0U);
    EXPECT_LE(runs(), maxAttempts);
    EXPECT_NE(answer.status, 503);
}

TEST_P(ForwardRunsTest, runsHereAndAtOtherNodes_stayWithinItsAttempts)
{
    startNodesThatReachOneEngine(Cut::None);
    askCut(request("POST", "/chat/x", {}, "abc"));
    EXPECT_GT(runs(), 0U);
    EXPECT_LE(runs(), maxAttempts);
}

INSTANTIATE_TEST_SUITE_P(Losses,
                         ForwardRunsTest,
                         testing::Values(RunLoss{"resetBeforeTheAnswer", {"", false, true}},
                                         RunLoss{"closedBeforeTheAnswer", {"", true}},
                                         RunLoss{"resetWithinTheHead", {"HTTP/1.1 200 OK\r\nIbis", false, true}},
                                         RunLoss{"brokenOffWithinTheStream", test::brokenStream(1, 2)}),
                         [](const auto &info) { return info.param.name; });

} // namespace ibisfork::gateway
