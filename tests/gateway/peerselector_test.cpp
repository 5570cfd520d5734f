#include "gateway/peerselector.h"

#include <gtest/gtest.h>

#include <set>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

class PeerSelectorTest : public testing::Test
{
protected:
    static PeerNode peer(const std::string &name, const std::string &domain, const std::string &region = "r1")
    {
        return {name, region, domain, {"127.0.0.1", 1}, net::Address{"127.0.0.1", 2}};
    }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    /// Names of the nodes chosen in many draws; "-" if none was.
    std::string chosen(base::Duration after = 0s, const std::vector<std::string> &tried = {})
    {
        std::set<std::string> names;
        for (int i = 0; i < 100; ++i) {
            const auto found = m_selector.choose(m_peers, m_self, tried, at(after));
            names.insert(found ? found->name : "-");
        }
        std::string text;
        for (const auto &name : names) {
            text += name;
        }
        return text;
    }

    const PeerNode m_self = peer("self", "d1");
    std::vector<PeerNode> m_peers{peer("a", "d1"), peer("b", "d1"), peer("c", "d2"), peer("x", "d1", "r2")};
    PeerSelector m_selector{1};
};

TEST_F(PeerSelectorTest, nodesOfTheOwnDomain_goFirst)
{
    EXPECT_EQ(chosen(), "ab");
    EXPECT_EQ(chosen(0s, {"a", "b"}), "c");
}

TEST_F(PeerSelectorTest, otherRegion_isNeverChosen)
{
    EXPECT_EQ(chosen(0s, {"a", "b", "c"}), "-");
}

TEST_F(PeerSelectorTest, nodeThatRefused_isLeftAloneForAWhile)
{
    m_selector.recordRefused("a", at(0s));
    EXPECT_EQ(chosen(900ms), "b");
    EXPECT_EQ(chosen(1s), "ab");
}

TEST_F(PeerSelectorTest, nodeThatFailed_isLeftAloneForLonger)
{
    m_selector.recordFailed("a", at(0s));
    EXPECT_EQ(chosen(1900ms), "b");
    EXPECT_EQ(chosen(2s), "ab");
}

TEST_F(PeerSelectorTest, nodeOfAnEarlierVersion_acceptsNoForwardedRequests)
{
    m_peers = {peer("a", "d1")};
    m_peers.front().forwarding.reset();
    EXPECT_EQ(chosen(), "-");
}

} // namespace ibisfork::gateway
