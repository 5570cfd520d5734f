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
    std::string chosen(base::Duration after = 0s,
                       const std::vector<std::string> &tried = {},
                       const std::string &service = "s")
    {
        std::set<std::string> names;
        for (int i = 0; i < 100; ++i) {
            const auto found = m_selector.choose(m_peers, m_self, service, tried, at(after));
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
    m_peers = {peer("a", "d1"), peer("b", "d1")};
    m_selector.recordRefused("a", "s", at(0s));
    EXPECT_EQ(chosen(900ms), "b");
    EXPECT_EQ(chosen(900ms, {"b"}), "-a");
    EXPECT_EQ(chosen(1s, {"b"}), "a");
}

TEST_F(PeerSelectorTest, nodeThatRefused_isAskedAfterUnknownOnesForLonger)
{
    m_peers = {peer("a", "d1"), peer("b", "d1")};
    m_selector.recordRefused("a", "s", at(0s));
    EXPECT_EQ(chosen(9900ms), "b");
    EXPECT_EQ(chosen(10s), "ab");
}

TEST_F(PeerSelectorTest, nodeOfTheOwnDomainRefused_anotherDomainGoesFirst)
{
    m_selector.recordRefused("a", "s", at(0s));
    EXPECT_EQ(chosen(900ms), "c");
    EXPECT_EQ(chosen(900ms, {"c"}), "b");
    EXPECT_EQ(chosen(900ms, {}, "t"), "ab");
}

TEST_F(PeerSelectorTest, eachDomainHasANodeThatRefused_theOwnDomainGoesFirst)
{
    m_peers.push_back(peer("d", "d2"));
    m_selector.recordRefused("a", "s", at(0s));
    m_selector.recordRefused("c", "s", at(0s));
    EXPECT_EQ(chosen(900ms), "b");
}

TEST_F(PeerSelectorTest, nodeHasServed_isAskedOnceAnUnknownOneHasRefused)
{
    m_selector.recordServed("c", "s", at(0s));
    EXPECT_EQ(chosen(100ms), "ab");
    m_selector.recordRefused("a", "s", at(100ms));
    EXPECT_EQ(chosen(200ms, {"a"}), "c");
    EXPECT_EQ(chosen(10100ms, {"a"}), "b");
}

TEST_F(PeerSelectorTest, nodeHasServedAnotherService_isNotPreferred)
{
    m_selector.recordServed("c", "t", at(0s));
    EXPECT_EQ(chosen(100ms, {"x"}), "ab");
}

TEST_F(PeerSelectorTest, nodeHasServedAndThenRefusesOrFails_isNotPreferred)
{
    for (const auto *name : {"a", "b", "c"}) {
        m_selector.recordServed(name, "s", at(0s));
    }
    m_selector.recordRefused("a", "s", at(100ms));
    m_selector.recordFailed("b", "s", at(100ms));
    EXPECT_EQ(chosen(200ms), "c");
    m_selector.recordUnreachable("c", at(200ms));
    EXPECT_EQ(chosen(300ms), "bc");
}

TEST_F(PeerSelectorTest, mostNodesRefuse_threeThatHaveServedAreAskedFirst)
{
    m_peers.clear();
    for (const auto *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        m_peers.push_back(peer(name, "d1"));
    }
    for (const auto *name : {"a", "b", "c", "d"}) {
        m_selector.recordRefused(name, "s", at(0s));
    }
    m_selector.recordServed("e", "s", at(0s));
    m_selector.recordServed("f", "s", at(0s));
    EXPECT_EQ(chosen(100ms), "gh");
    m_selector.recordServed("g", "s", at(0s));
    EXPECT_EQ(chosen(100ms), "efg");
}

TEST_F(PeerSelectorTest, mostNodesServe_othersAreAskedToo)
{
    m_peers.clear();
    for (const auto *name : {"a", "b", "c", "d"}) {
        m_peers.push_back(peer(name, "d1"));
    }
    for (const auto *name : {"a", "b", "c"}) {
        m_selector.recordServed(name, "s", at(0s));
    }
    EXPECT_EQ(chosen(100ms), "d");
}

TEST_F(PeerSelectorTest, requestsHaveAskedFive_furtherQuestionsAreLimitedByRate)
{
    const std::vector<std::string> tried{"p1", "p2", "p3", "p4", "p5"};
    const auto asked = [&](base::Duration after) {
        int count = 0;
        for (int i = 0; i < 100; ++i) {
            count += m_selector.choose(m_peers, m_self, "s", tried, at(after)) ? 1 : 0;
        }
        return count;
    };
    EXPECT_EQ(asked(0s), 60);
    EXPECT_EQ(asked(1s), 20);
    EXPECT_EQ(chosen(1s, {"p1", "p2", "p3", "p4"}), "ab");
}

TEST_F(PeerSelectorTest, nodeThatRefusedOneService_isChosenForAnother)
{
    for (const auto &peer : m_peers) {
        m_selector.recordRefused(peer.name, "s", at(0s));
    }
    EXPECT_EQ(chosen(90ms), "-");
    EXPECT_EQ(chosen(900ms, {}, "t"), "ab");
    EXPECT_EQ(m_selector.refusing(m_peers, "s", at(900ms)), m_peers.size());
    EXPECT_EQ(m_selector.refusing(m_peers, "t", at(900ms)), 0U);
}

TEST_F(PeerSelectorTest, allNodesRefuse_eachIsAskedOnceInAWhile)
{
    for (const auto &peer : m_peers) {
        m_selector.recordRefused(peer.name, "s", at(0s));
    }
    for (const auto after : {100ms, 200ms, 900ms}) {
        std::multiset<std::string> asked;
        while (const auto peer = m_selector.choose(m_peers, m_self, "s", {}, at(after))) {
            asked.insert(peer->name);
        }
        EXPECT_EQ(asked, (std::multiset<std::string>{"a", "b", "c"}));
    }
}

TEST_F(PeerSelectorTest, nodeThatRefusedServesAgain_isChosenAgain)
{
    for (const auto &peer : m_peers) {
        m_selector.recordRefused(peer.name, "s", at(0s));
    }
    m_selector.recordServed("c", "s", at(0s));
    EXPECT_EQ(chosen(50ms), "c");
}

TEST_F(PeerSelectorTest, nodeThatTakesNothing_isLeftAloneForAllServices)
{
    m_peers = {peer("a", "d1"), peer("b", "d1")};
    m_selector.recordRefusedAll("a", at(0s));
    EXPECT_EQ(chosen(900ms), "b");
    EXPECT_EQ(chosen(900ms, {}, "t"), "b");
    EXPECT_EQ(chosen(1s), "ab");
}

TEST_F(PeerSelectorTest, nodeThatFailed_isLeftAloneForLonger)
{
    m_peers = {peer("a", "d1"), peer("b", "d1")};
    m_selector.recordFailed("a", "s", at(0s));
    EXPECT_EQ(chosen(1900ms), "b");
    EXPECT_EQ(chosen(1900ms, {}, "t"), "ab");
    EXPECT_EQ(chosen(2s), "ab");
}

TEST_F(PeerSelectorTest, nodeThatCouldNotBeReached_isLeftAloneForAllServices)
{
    m_peers = {peer("a", "d1"), peer("b", "d1")};
    m_selector.recordUnreachable("a", at(0s));
    EXPECT_EQ(chosen(1900ms), "b");
    EXPECT_EQ(chosen(1900ms, {}, "t"), "b");
    EXPECT_EQ(chosen(2s), "ab");
}

TEST_F(PeerSelectorTest, allNodesHaveFailed_oneOfThemIsChosenAllTheSame)
{
    for (const auto *name : {"a", "b", "c"}) {
        m_selector.recordFailed(name, "s", at(0s));
    }
    EXPECT_EQ(chosen(100ms), "abc");
    EXPECT_EQ(chosen(100ms, {"a", "b"}), "c");
    m_selector.recordRefused("c", "s", at(0s));
    EXPECT_EQ(chosen(100ms), "ab");
}

TEST_F(PeerSelectorTest, nodeOfAnEarlierVersion_acceptsNoForwardedRequests)
{
    m_peers = {peer("a", "d1")};
    m_peers.front().forwarding.reset();
    EXPECT_EQ(chosen(), "-");
}

} // namespace ibisfork::gateway
