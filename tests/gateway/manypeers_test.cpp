#include <gtest/gtest.h>

#include "peernodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// More nodes without a path to engines than one request used to ask, and one node with a path.
class ManyPeersTest : public test::PeerNodesTest
{
protected:
    /// How many of three requests to the first node are served, sent so far apart that all refusals may be asked again.
    int servedOfThree()
    {
        int served = 0;
        for (int i = 0; i < 3; ++i) {
            served += askCut(request("POST", "/book/x", {}, "abc")).status == 200 ? 1 : 0;
            runFor(betweenRequests);
        }
        return served;
    }

    static constexpr auto betweenRequests = 1100ms;
    static constexpr std::size_t cutNodes = 8;
};

TEST_F(ManyPeersTest, wholeFailureDomainHasNoPath_requestsAreServedByAnotherDomain)
{
    std::vector<Cut> cuts(cutNodes, Cut::Refused);
    std::vector<std::string> domains(cutNodes, "a");
    cuts.push_back(Cut::None);
    domains.emplace_back("b");
    startNodes(cuts, domains);
    EXPECT_EQ(servedOfThree(), 3);
}

TEST_F(ManyPeersTest, allButOneNodeHaveNoPath_theOneIsFoundAndKept)
{
    std::vector<Cut> cuts(cutNodes + cutNodes / 2, Cut::Refused);
    cuts.push_back(Cut::None);
    startNodes(cuts);
    EXPECT_EQ(servedOfThree(), 3);
}

} // namespace ibisfork::gateway
