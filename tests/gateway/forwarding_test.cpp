#include <algorithm>
#include <utility>

#include <gtest/gtest.h>

#include "peernodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

/// A node that reaches no engine, and other nodes that do.
class ForwardingTest : public test::PeerNodesTest
{
protected:
    /// Makes the engines of node @p index reachable or not from now on.
    void setCut(std::size_t index, Cut cut)
    {
        listEngines(*m_nodes[index]->store, cut);
        runFor(800ms);
    }

    /// Requests that the node has forwarded, by what came of them.
    std::uint64_t forwarded(std::size_t index, const char *outcome)
    {
        return m_nodes[index]->metrics.counter("ibisfork_forwarded_requests_total", {{"outcome", outcome}}).value();
    }

    /// Requests that reached the engines.
    std::size_t arrived() const
    {
        std::size_t count = 0;
        for (const auto &item : m_engines) {
            count += item.second->requests().size();
        }
        return count;
    }

    /// Requests out of 12 that a node, which reached no engine until now, sends to the engine that has answered its
    /// first health check with @p health.
    std::size_t requestsAfterHealthCheck(const test::EngineReply &health)
    {
        startNodes({Cut::Refused, Cut::None});
        auto &checked = *m_engines["e0"];
        checked.willDecide([health](const http::Request &seen) {
            return seen.head.target == "/healthz" ? health : test::plainReply(200, "good");
        });
        for (int i = 0; i < 4; ++i) {
            askCut(request("GET", "/read/x"));
        }
        listEngine(*m_nodes.front()->store, 0, Cut::None);
        EXPECT_TRUE(until([&] { return !checked.requests().empty(); }));
        setCut(0, Cut::None);
        const auto before = checked.requests().size();
        for (int i = 0; i < 12; ++i) {
            askCut(request("GET", "/read/x"));
        }
        return checked.requests().size() - before;
    }
};

TEST_F(ForwardingTest, nodeReachesNoEngine_itsCallersAreServedByAnotherNode)
{
    startNodes({Cut::Refused, Cut::None});
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        served += askCut(request("GET", "/read/x")).status == 200 ? 1 : 0;
        served += askCut(request("POST", "/book/x", {}, "abc")).status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, 20);
    EXPECT_EQ(arrived(), 20U);
}

TEST_F(ForwardingTest, engineConnectionsHang_onceThatIsKnown_requestsAreServedByAnotherNode)
{
    startNodes({Cut::Hanging, Cut::None});
    // Two engines a request stay silent before the node knows that none answers; they are drawn at random.
    const auto wasTried = [](const auto &engine) {
        const auto &seen = engine->requests();
        return std::any_of(
            seen.begin(), seen.end(), [](const http::Request &item) { return item.head.target != "/healthz"; });
    };
    const auto wereAllTried = [&] {
        return std::all_of(m_silent.begin(), m_silent.end(), wasTried);
    };
    constexpr int mostRequests = 8;
    for (int i = 0; i < mostRequests && !wereAllTried(); ++i) {
        askCut(request("GET", "/read/x"));
    }
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
        EXPECT_EQ(askCut(request("POST", "/book/x", {}, "abc")).status, 200);
    }
}

TEST_F(ForwardingTest, stream_isForwardedEventByEvent)
{
    answerWith(test::streamReply(1, 3));
    startNodes({Cut::Refused, Cut::None});
    const auto answer = askCut(request("POST", "/chat/x", {}, "abc"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.headers.find("Ibisfork-Response-Seal"), "s");
    EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
}

TEST_F(ForwardingTest, streamBreaksAndNoOtherEngineIsReachable_goesOnThroughAnotherNodeWithoutGapOrRepeat)
{
    startNodes({Cut::None, Cut::None});
    for (std::size_t i = 1; i < engines; ++i) {
        listEngine(*m_nodes.front()->store, i, Cut::Refused);
    }
    runFor(800ms);
    for (auto &item : m_engines) {
        item.second->willReply({test::brokenStream(1, 2)});
        item.second->willResumeWith(test::streamReply(3, 4));
    }
    for (int i = 0; i < 6; ++i) {
        const auto answer = askCut(request("POST", "/chat/x", {}, "abc"));
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\n");
    }
    EXPECT_GT(forwarded(0, "answered"), 0U);
}

TEST_F(ForwardingTest, firstPeerIsCutOffToo_theNextOneServes)
{
    startNodes({Cut::Refused, Cut::Refused, Cut::Refused, Cut::None});
    int served = 0;
    for (int i = 0; i < 12; ++i) {
        served += askCut(request("POST", "/book/x", {}, "abc")).status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, 12);
    EXPECT_EQ(arrived(), 12U);
}

TEST_F(ForwardingTest, twoEnginesAreDownAndThePeerIsCutOff_theThirdEngineServes)
{
    startNodes({Cut::None, Cut::Refused});
    for (std::size_t i = 1; i < engines; ++i) {
        listEngine(*m_nodes.front()->store, i, Cut::Refused);
    }
    runFor(800ms);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
    }
}

TEST_F(ForwardingTest, oldConnectionsLiveOnAndNewOnesAreRefused_callersAreServed)
{
    m_configuration["services"][0]["coldStartS"] = 3;
    m_configuration["services"][0]["coldPerS"] = 2;
    for (auto &engine : m_silent) {
        auto slow = test::plainReply(200, "good");
        slow.delay = 20ms;
        engine->willReply({slow});
    }
    startNodes({Cut::Hanging, Cut::None});
    for (int i = 0; i < 6; ++i) {
        ASSERT_EQ(askCut(request("GET", "/read/x")).status, 200);
    }
    for (auto &engine : m_silent) {
        engine->refuseConnections();
    }
    constexpr int bursts = 30;
    constexpr int burstSize = 5;
    int served = 0;
    for (int i = 0; i < bursts; ++i) {
        std::vector<std::unique_ptr<FakeCaller>> callers;
        for (int j = 0; j < burstSize; ++j) {
            callers.push_back(std::make_unique<FakeCaller>(m_base.get(), m_nodes.front()->gateway->callers()));
            callers.back()->send(request("POST", "/book/x", {}, "abc"));
        }
        runFor(100ms);
        for (const auto &caller : callers) {
            served += caller->answer().status == 200 ? 1 : 0;
        }
    }
    EXPECT_GE(served, bursts * burstSize * 2 / 3);
}

TEST_F(ForwardingTest, allNodesAreCutOff_callersAreRefusedAtOnce_noNodeForwardsWhatWasForwarded)
{
    startNodes({Cut::Refused, Cut::Refused, Cut::Refused});
    askCut(request("GET", "/read/x"));
    const auto began = base::monotonicNow();
    const auto answer = askCut(request("GET", "/read/x"));
    EXPECT_LT(base::monotonicNow() - began, 200ms);
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_FALSE(answer.headers.find("Forward-Refused"));
    EXPECT_EQ(forwarded(1, "refused") + forwarded(2, "refused"), 0U);
}

TEST_F(ForwardingTest, peerEndsWhileItServes_requestThatMayRunOnce_runsOnceAndIsNotCalledNotRun)
{
    auto slow = test::plainReply(200, "good");
    slow.delay = 400ms;
    answerWith(slow);
    startNodes({Cut::Refused, Cut::None});
    FakeCaller caller(m_base.get(), m_nodes.front()->gateway->callers());
    caller.send(request("POST", "/book/x", {}, "abc"));
    ASSERT_TRUE(until([this] { return arrived() == 1; }));
    m_nodes.back()->gateway.reset();
    ASSERT_TRUE(until([&] { return caller.done(); }));
    EXPECT_EQ(caller.answer().status, 502);
    EXPECT_EQ(arrived(), 1U);
}

TEST_F(ForwardingTest, peerEndsWhileItServes_requestThatMayBeRepeated_isServedByTheNext)
{
    auto slow = test::plainReply(200, "good");
    slow.delay = 100ms;
    answerWith(slow);
    startNodes({Cut::Refused, Cut::None, Cut::None});
    FakeCaller caller(m_base.get(), m_nodes.front()->gateway->callers());
    caller.send(request("GET", "/read/x"));
    ASSERT_TRUE(until([this] { return arrived() == 1; }));
    const auto busy = forwarded(1, "answered") == 0 && m_nodes[1]->gateway->exchanges() > 0 ? 1U : 2U;
    m_nodes[busy]->gateway.reset();
    ASSERT_TRUE(until([&] { return caller.done(); }));
    EXPECT_EQ(caller.answer().status, 200);
}

/// Answers without a length that end with a reset, at the node that a request was forwarded to.
class ForwardedResetTest : public ForwardingTest, public testing::WithParamInterface<const char *>
{
};

TEST_P(ForwardedResetTest, engineResetsAnAnswerWithoutALength_partOfItIsNoWholeAnswer)
{
    test::EngineReply reply{std::string("HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\n")
                            + (GetParam() == std::string("/chat/x") ? "Content-Type: text/event-stream\r\n" : "")
                            + "\r\nid: 1\ndata: t1\n\nid: 2\ndata"};
    reply.reset = true;
    answerWith(reply);
    startNodes({Cut::Refused, Cut::None});
    for (int i = 0; i < 4; ++i) {
        const auto answer = askCut(request("POST", GetParam(), {}, std::string(9000, 'u')));
        EXPECT_FALSE(answer.complete && answer.status == 200);
    }
    EXPECT_GT(arrived(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Routes,
                         ForwardedResetTest,
                         testing::Values("/read/x", "/book/x", "/chat/x"),
                         [](const auto &info) { return std::string(info.param).substr(1, 4); });

TEST_F(ForwardingTest, callerLeaves_runAtTheEngineOfTheOtherNodeIsEnded)
{
    answerWith({""});
    startNodes({Cut::Refused, Cut::None});
    auto caller = std::make_unique<FakeCaller>(m_base.get(), m_nodes.front()->gateway->callers());
    caller->send(request("POST", "/book/x", {}, "abc"));
    ASSERT_TRUE(until([this] { return arrived() == 1; }));
    caller->leave();
    const auto open = [this] {
        std::size_t count = 0;
        for (const auto &item : m_engines) {
            count += item.second->open();
        }
        return count;
    };
    EXPECT_TRUE(until([&] { return open() == 0; }, 500ms));
}

TEST_F(ForwardingTest, deadlineOfTheCaller_reachesTheEngineAsTimeLeft)
{
    startNodes({Cut::Refused, Cut::None});
    askCut(request("GET", "/read/x", "Ibisfork-Deadline-Ms: 700\r\n"));
    ASSERT_EQ(arrived(), 1U);
    for (const auto &item : m_engines) {
        for (const auto &seen : item.second->requests()) {
            const std::string left(seen.head.headers.find("Ibisfork-Deadline-Ms").value_or("9999"));
            EXPECT_LE(std::stoi(left), 700);
            EXPECT_EQ(seen.head.headers.count("Ibisfork-Deadline-Ms"), 1U);
            EXPECT_FALSE(seen.head.headers.find("Forward-Runs-Left"));
        }
    }
}

TEST_F(ForwardingTest, pathIsBack_nodeServesByItselfAgain)
{
    startNodes({Cut::Refused, Cut::None});
    askCut(request("GET", "/read/x"));
    setCut(0, Cut::None);
    const auto before = forwarded(0, "answered");
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
    }
    EXPECT_EQ(forwarded(0, "answered"), before);
}

TEST_F(ForwardingTest, peerWithAnOlderConfiguration_doesNotKnowTheRoute_theRequestIsNotAnswered404)
{
    startNodes({Cut::Refused, Cut::None, Cut::None});
    m_configuration["version"] = 8;
    m_configuration["routes"].push_back(route("more", "/more/", "idempotent", 2));
    m_nodes[0]->store->put("op", "config", m_configuration.dump());
    m_nodes[2]->store->put("op", "config", m_configuration.dump());
    runFor(300ms);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(askCut(request("GET", "/more/x")).status, 200);
    }
}

TEST_F(ForwardingTest, requestOfACaller_withHeadersOfNodes_isTakenAsACallers)
{
    startNodes({Cut::Refused, Cut::None});
    EXPECT_EQ(askCut(request("GET", "/read/x", "Forward-Runs-Left: 1\r\nForward-Counted: 1\r\n")).status, 200);
}

TEST_F(ForwardingTest, requestOfACaller_withHeadersOfNodes_runsAsOftenAsItsRouteAllows)
{
    startNodes({Cut::Refused, Cut::None});
    bool hasFailed = false;
    for (const auto &item : m_engines) {
        item.second->willDecide([&hasFailed](const http::Request &) {
            return std::exchange(hasFailed, true) ? test::plainReply(200, "good") : test::plainReply(500, "bad");
        });
    }
    EXPECT_EQ(askCut(request("GET", "/read/x", "Forward-Runs-Left: 1\r\n")).status, 200);
}

TEST_F(ForwardingTest, forwardedAnswerSaysThatItsEngineLeaves_onceEnginesAreReachedAgain_thatOneGetsNoRequest)
{
    startNodes({Cut::Refused, Cut::None});
    const std::string leaving = "Ibisfork-Response-Seal: s\r\nServer-Leaving: 1\r\n";
    m_engines["e0"]->willReply({test::plainReply(200, "leaving", leaving)});
    test::Answer answer;
    ASSERT_TRUE(until([&] {
        answer = askCut(request("GET", "/read/x"));
        return answer.body == "leaving";
    }));
    EXPECT_FALSE(answer.headers.find("Forward-Engine-Leaving"));
    setCut(0, Cut::None);
    const auto before = m_engines["e0"]->requests().size();
    for (int i = 0; i < 12; ++i) {
        EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
    }
    EXPECT_EQ(m_engines["e0"]->requests().size(), before);
}

TEST_F(ForwardingTest, healthCheckSaysThatTheEngineLeaves_itGetsNoRequest)
{
    EXPECT_EQ(requestsAfterHealthCheck(test::plainReply(200, "", "Server-Leaving: 1\r\n")), 0U);
}

TEST_F(ForwardingTest, healthCheckAsksForRest_engineGetsNoRequestMeanwhile)
{
    EXPECT_LE(requestsAfterHealthCheck(test::plainReply(503, "", "Retry-After: 30\r\n")), 2U);
}

} // namespace ibisfork::gateway
