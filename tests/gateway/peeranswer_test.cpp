#include "gateway/peeranswer.h"

#include <functional>

#include <gtest/gtest.h>

#include "gateway/forwardheaders.h"
#include "http/status.h"
#include "peernodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

class PeerAnswerClassTest : public testing::Test
{
protected:
    static EngineAnswer answer(int status, bool isSigned = false)
    {
        EngineAnswer answer;
        answer.status = status;
        answer.isSigned = isSigned;
        return answer;
    }

    static EngineAnswer stream(int status, bool isSigned)
    {
        auto stream = answer(status, isSigned);
        stream.eventStream = true;
        return stream;
    }

    static PeerAnswer classify(const EngineAnswer &answer) { return classifyPeerAnswer(answer, {}); }

    static PeerAnswer classifyRefusal(const EngineAnswer &answer, RefusalScope scope = RefusalScope::Service)
    {
        http::HeaderList headers;
        addForwardRefusal(headers, scope, "s");
        return classifyPeerAnswer(answer, headers);
    }
};

TEST_F(PeerAnswerClassTest, markedAsRefusalOfTheService_hasNoPath)
{
    EXPECT_EQ(classifyRefusal(answer(http::status::unavailable)), PeerAnswer::NoPath);
}

TEST_F(PeerAnswerClassTest, markedAsRefusalOfTheRequest_couldNotReachEngines)
{
    EXPECT_EQ(classifyRefusal(answer(http::status::unavailable), RefusalScope::Request), PeerAnswer::Unreachable);
}

TEST_F(PeerAnswerClassTest, markedAsRefusalOfTheNode_takesNothing)
{
    EXPECT_EQ(classifyRefusal(answer(http::status::unavailable), RefusalScope::Node), PeerAnswer::TakesNothing);
}

TEST_F(PeerAnswerClassTest, markedAsRefusal_goesBeforeSignatureAndStream)
{
    EXPECT_EQ(classifyRefusal(answer(http::status::ok, true)), PeerAnswer::NoPath);
    EXPECT_EQ(classifyRefusal(stream(http::status::ok, true)), PeerAnswer::NoPath);
}

TEST_F(PeerAnswerClassTest, unsignedStatusOfARequestNotAdmitted_isOfAnotherConfiguration)
{
    for (const int status :
         {http::status::unauthorized, http::status::notFound, http::status::bodyTooLarge, http::status::headTooLarge}) {
        EXPECT_EQ(classify(answer(status)), PeerAnswer::OtherConfiguration) << status;
    }
}

TEST_F(PeerAnswerClassTest, unsignedRefusalForAMoment_hasNotRun)
{
    EXPECT_EQ(classify(answer(http::status::unavailable)), PeerAnswer::NotRun);
    EXPECT_EQ(classify(answer(http::status::tooManyRequests)), PeerAnswer::NotRun);
}

TEST_F(PeerAnswerClassTest, unsignedTimeout_isOutOfTime)
{
    EXPECT_EQ(classify(answer(http::status::gatewayTimeout)), PeerAnswer::OutOfTime);
}

TEST_F(PeerAnswerClassTest, otherUnsignedStatus_hasFailed)
{
    for (const int status : {http::status::firstRedirect,
                             http::status::badRequest,
                             http::status::requestTimeout,
                             http::status::firstServerError,
                             http::status::badGateway}) {
        EXPECT_EQ(classify(answer(status)), PeerAnswer::Failed) << status;
    }
}

TEST_F(PeerAnswerClassTest, signedAnswer_isTheEnginesWhateverItsStatus)
{
    for (const int status : {http::status::ok,
                             http::status::notFound,
                             http::status::tooManyRequests,
                             http::status::firstServerError,
                             http::status::unavailable,
                             http::status::gatewayTimeout}) {
        EXPECT_EQ(classify(answer(status, true)), PeerAnswer::Signed) << status;
    }
}

TEST_F(PeerAnswerClassTest, streamOfEvents_isStream)
{
    EXPECT_EQ(classify(stream(http::status::ok, true)), PeerAnswer::Stream);
    EXPECT_EQ(classify(stream(http::status::ok, false)), PeerAnswer::Stream);
}

TEST_F(PeerAnswerClassTest, failureInTheFormOfAStream_isClassifiedByItsStatus)
{
    EXPECT_EQ(classify(stream(http::status::unavailable, false)), PeerAnswer::NotRun);
    EXPECT_EQ(classify(stream(http::status::badGateway, false)), PeerAnswer::Failed);
    EXPECT_EQ(classify(stream(http::status::firstServerError, true)), PeerAnswer::Signed);
}

/// A node that has lost the path to its engines, and what its peers do with its requests.
class PeerAnswerTest : public test::PeerNodesTest
{
protected:
    static constexpr const char *wholeStream
        = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\n";

    /// Streams break off after two events; @p resume decides how engines answer requests that go on.
    void streamsBreak(const std::function<test::EngineReply()> &resume)
    {
        for (auto &item : m_engines) {
            item.second->willDecide([resume](const http::Request &seen) {
                return seen.head.headers.find("Last-Event-Id") ? resume() : test::brokenStream(1, 2);
            });
        }
    }

    /// Node 0 reaches its first engine only.
    void startBesideOneEngine(std::size_t nodes)
    {
        startNodes(std::vector<Cut>(nodes, Cut::None));
        for (std::size_t i = 1; i < engines; ++i) {
            listEngine(*m_nodes.front()->store, i, Cut::Refused);
        }
        runFor(800ms);
    }

    void expectWholeStream()
    {
        const auto answer = askCut(request("POST", "/chat/x", {}, "abc"));
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, wholeStream);
    }

    /// Gives the nodes @p indexes the configuration as it is now, as a newer version.
    void configureNodes(const std::vector<std::size_t> &indexes)
    {
        m_configuration["version"] = m_configuration["version"].get<int>() + 1;
        for (const auto index : indexes) {
            m_nodes[index]->store->put("op", "config", m_configuration.dump());
        }
        runFor(300ms);
    }

    std::string longRequest() const { return request("POST", "/book/x", {}, std::string(15000, 'b')); }
};

TEST_F(PeerAnswerTest, streamHasBegun_enginesOfThePeerRefuseForAMoment_streamIsWhole)
{
    constexpr int refusals = engines;
    int resumed = 0;
    streamsBreak([&] { return ++resumed <= refusals ? test::refusal(503) : test::streamReply(3, 4); });
    startBesideOneEngine(2);
    expectWholeStream();
}

TEST_F(PeerAnswerTest, streamHasBegun_enginesOfThePeerPause_streamIsWhole)
{
    streamsBreak([] {
        auto reply = test::streamReply(3, 4);
        reply.delay = 900ms;
        return reply;
    });
    startBesideOneEngine(2);
    expectWholeStream();
}

TEST_F(PeerAnswerTest, peerStopsUnderAStream_streamGoesOnAtTheNextPeer)
{
    m_settings.bounds.shutdownGrace = 1000ms;
    int runs = 0;
    for (auto &item : m_engines) {
        item.second->willDecide([&](const http::Request &seen) {
            if (seen.head.headers.find("Last-Event-Id")) {
                return test::streamReply(3, 4);
            }
            ++runs;
            return test::EngineReply{test::brokenStream(1, 2).bytes};
        });
    }
    startNodes({Cut::Refused, Cut::None, Cut::None});
    FakeCaller caller(m_base.get(), m_nodes.front()->gateway->callers());
    caller.send(request("POST", "/chat/x", {}, "abc"));
    ASSERT_TRUE(until([&] { return runs == 1; }));
    runFor(20ms);
    m_nodes[m_nodes[1]->gateway->exchanges() > 0 ? 1 : 2]->gateway->stop([] {});
    ASSERT_TRUE(until([&] { return caller.done(); }));
    EXPECT_EQ(caller.answer().body, wholeStream);
}

TEST_F(PeerAnswerTest, peerWithAnOlderConfiguration_takesNoBodySoLong_theRequestIsNotAnswered413)
{
    startNodes({Cut::Refused, Cut::None, Cut::None});
    m_configuration["limits"]["maxBodyBytes"] = 20000;
    configureNodes({0, 2});
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(askCut(longRequest()).status, 200);
    }
}

TEST_F(PeerAnswerTest, longerBodiesAreAllowed_connectionsToPeersAreOlder_theRequestIsNotAnswered413)
{
    startNodes({Cut::Refused, Cut::None});
    EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
    m_configuration["limits"]["maxBodyBytes"] = 20000;
    configureNodes({0, 1});
    EXPECT_EQ(askCut(longRequest()).status, 200);
}

TEST_F(PeerAnswerTest, peerWithAnOlderConfiguration_givesTheRouteLessTime_theRequestIsNotAnswered504)
{
    auto slow = test::plainReply(200, "good");
    slow.delay = 400ms;
    answerWith(slow);
    m_configuration["routes"][0]["timeoutMs"] = 300;
    startNodes({Cut::Refused, Cut::None, Cut::None});
    m_configuration["routes"][0]["timeoutMs"] = 2000;
    configureNodes({0, 2});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(askCut(request("GET", "/read/x")).status, 200);
    }
}

TEST_F(PeerAnswerTest, peerWithAnotherServiceForTheRoute_streamIsWholeOrRefused)
{
    streamsBreak([] { return test::streamReply(3, 4); });
    startBesideOneEngine(3);
    m_configuration["routes"][2]["service"] = "other";
    m_configuration["services"].push_back({{"name", "other"}, {"healthPath", "/healthz"}, {"maxConns", 100}});
    configureNodes({1});
    for (int i = 0; i < 8; ++i) {
        const auto answer = askCut(request("POST", "/chat/x", {}, "abc"));
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, answer.status == 503 ? "" : wholeStream);
    }
}

} // namespace ibisfork::gateway
