#include <atomic>

#include "gatewayfixture.h"
#include "threadengine.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;
using test::ThreadEngine;

/// Answers of engines in forms and at moments that HTTP allows and that are rare.
class EngineAnswersTest : public test::GatewayTest
{
protected:
    static constexpr const char *earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    static test::EngineReply withInterim(test::EngineReply reply, int times)
    {
        std::string interim;
        for (int i = 0; i < times; ++i) {
            interim += earlyHints;
        }
        reply.bytes.insert(0, interim);
        return reply;
    }

    /// A request that an engine answers before it has read the long body.
    struct EarlyAnswer
    {
        std::string answer;
        const char *path = "/book/x";
        const char *version = "HTTP/1.1";
        /// The engine has answered another request on the connection before.
        bool isKept = false;
    };

    /// Sends a long body to an engine that writes an answer and closes the connection before it has read the body. The
    /// node sees both at once.
    const test::Answer &askResettingEngine(const std::string &answer)
    {
        return askResettingEngine(EarlyAnswer{answer});
    }
    const test::Answer &askResettingEngine(const EarlyAnswer &early)
    {
        m_configuration["limits"]["maxBodyBytes"] = longBody;
        for (auto &route : m_configuration["routes"]) {
            route["timeoutMs"] = 5000;
            route["goalMs"] = 4000;
        }
        std::atomic<bool> headRead = false;
        std::atomic<bool> mayAnswer = false;
        const ThreadEngine engine([&](int socket) {
            if (early.isKept && !ThreadEngine::readRequest(socket).empty()) {
                ThreadEngine::write(socket, ThreadEngine::answer(200, "a1", "first"));
            }
            if (ThreadEngine::readHead(socket).empty()) {
                return;
            }
            headRead = true;
            wait(mayAnswer);
            ThreadEngine::write(socket, early.answer);
        });
        m_store.put("servers", "t1", test::engineEntry(engine.address()).dump());
        start();
        m_caller = std::make_unique<FakeCaller>(m_base.get(), m_gateway->callers());
        auto bytes = request("POST", early.path, {}, std::string(longBody, 'b'));
        const std::string usual = "HTTP/1.1";
        bytes.replace(bytes.find(usual), usual.size(), early.version);
        // A request that may run once takes a connection that was just used, so its long body has to be there by then.
        m_caller->send(bytes.substr(0, bytes.size() - 1));
        EXPECT_TRUE(until([&] { return std::stoul(metric("ibisfork_held_bytes ")) >= longBody - 1; }));
        if (early.isKept) {
            EXPECT_EQ(ask(request("POST", early.path, {}, "a")).status, 200);
        }
        m_caller->send(bytes.substr(bytes.size() - 1));
        until([&] { return headRead.load(); });
        runFor(300ms);
        mayAnswer = true;
        std::this_thread::sleep_for(100ms);
        until([&] { return m_caller->done(); });
        return m_caller->answer();
    }

    /// The head of a success without a length, which ends with its connection.
    static std::string headWithoutLength(const std::string &fields = {})
    {
        return "HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: a1\r\nIbisfork-Response-Seal: s\r\n" + fields + "\r\n";
    }

    static test::EngineReply statusReply(const std::string &status)
    {
        return {"HTTP/1.1 " + status
                + " X\r\nIbisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"};
    }

    static std::string wholeEvents() { return "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"; }

    static void wait(const std::atomic<bool> &until)
    {
        while (!until) {
            std::this_thread::sleep_for(1ms);
        }
    }

    static constexpr std::size_t longBody = 8UL * 1024 * 1024;
    /// Enough for an engine that is chosen at random from two to be chosen once.
    static constexpr int mostRequests = 64;
    std::unique_ptr<FakeCaller> m_caller;
};

TEST_F(EngineAnswersTest, interimAnswers_beforeEachFinalOne_requestsAreServed)
{
    auto &engine = addEngine("e1");
    engine.willReply({withInterim(test::plainReply(200, "one"), 3)});
    start();
    for (const auto *path : {"/read/x", "/book/x"}) {
        const auto answer = ask(request("POST", path, {}, "a"));
        EXPECT_EQ(answer.status, 200) << path;
        EXPECT_EQ(answer.body, "one") << path;
        EXPECT_FALSE(answer.headers.find("Link")) << path;
    }
    EXPECT_EQ(engine.requests().size(), 2U);
    EXPECT_EQ(engine.open(), 1U);
}

TEST_F(EngineAnswersTest, interimAnswer_beforeAStream_streamIsServed)
{
    auto &engine = addEngine("e1");
    engine.willReply({withInterim(test::streamReply(1, 3), 1)});
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "a"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, test::streamBody(1, 3));
    EXPECT_EQ(engine.requests().size(), 1U);
}

TEST_F(EngineAnswersTest, interimAnswer_andThenSilence_anotherEngineServes)
{
    auto &silent = addEngine("e1");
    silent.willReply({{earlyHints}});
    addEngine("e2").willReply({test::plainReply(200, "two")});
    start();
    for (int i = 0; i < mostRequests && silent.requests().empty(); ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
    ASSERT_FALSE(silent.requests().empty());
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
}

TEST_F(EngineAnswersTest, answer_beforeTheBodyIsRead_ofAnEngineThatThenResets_reachesTheCaller)
{
    const auto &answer = askResettingEngine(ThreadEngine::answer(413, "a1", "too long"));
    EXPECT_EQ(answer.status, 413);
    EXPECT_EQ(answer.body, "too long");
}

TEST_F(EngineAnswersTest, answer_beforeTheBodyIsRead_ofAnEngineThatReadsNoMore_nextRequestIsNotSentBehindTheBody)
{
    // Longer than an engine's socket takes unread, short enough to leave the node.
    constexpr std::size_t bodyBytes = 320UL * 1024;
    m_configuration["limits"]["maxBodyBytes"] = longBody;
    std::atomic<bool> mayAnswer = false;
    std::atomic<bool> isOver = false;
    std::atomic<int> heads = 0;
    const ThreadEngine engine([&](int socket) {
        if (ThreadEngine::readHead(socket).empty()) {
            return;
        }
        ++heads;
        wait(mayAnswer);
        ThreadEngine::write(socket, ThreadEngine::answer(200, "a1", "early"));
        wait(isOver);
    });
    m_store.put("servers", "t1", test::engineEntry(engine.address()).dump());
    start();
    FakeCaller first(m_base.get(), m_gateway->callers());
    first.send(request("POST", "/book/x", {}, std::string(bodyBytes, 'b')));
    until([&] { return heads == 1; });
    runFor(200ms);
    mayAnswer = true;
    until([&] { return first.done(); });
    EXPECT_EQ(first.answer().status, 200);
    EXPECT_EQ(ask(request("POST", "/book/x", {}, "a")).status, 200);
    EXPECT_EQ(heads, 2);
    isOver = true;
}

TEST_F(EngineAnswersTest, answerWithoutLength_ofAnEngineThatThenResets_isNotTakenAsWhole)
{
    const auto &answer
        = askResettingEngine("HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: a1\r\nIbisfork-Response-Seal: s\r\n\r\npart");
    EXPECT_EQ(answer.status, 502);
}

TEST_F(EngineAnswersTest, answerWithoutLength_onAKeptConnection_ofAnEngineThatThenResets_isNotTakenAsWhole)
{
    const auto &answer = askResettingEngine({headWithoutLength() + "part", "/book/x", "HTTP/1.1", true});
    EXPECT_EQ(answer.status, 502);
}

TEST_F(EngineAnswersTest, answerWithoutLength_toAnHttp10Caller_ofAnEngineThatThenResets_isNotTakenAsWhole)
{
    const auto &answer = askResettingEngine({headWithoutLength() + "part", "/book/x", "HTTP/1.0"});
    EXPECT_EQ(answer.status, 502);
}

TEST_F(EngineAnswersTest, streamWithoutLength_ofAnEngineThatThenResets_isNotTakenAsWhole)
{
    const auto head = headWithoutLength("Content-Type: text/event-stream\r\n");
    const auto &answer = askResettingEngine({head + wholeEvents(), "/chat/x"});
    EXPECT_FALSE(answer.complete && answer.status == 200);
}

TEST_F(EngineAnswersTest, streamWithoutLength_toAnHttp10Caller_ofAnEngineThatThenResets_isNotTakenAsWhole)
{
    const auto head = headWithoutLength("Content-Type: text/event-stream\r\n");
    const auto &answer = askResettingEngine({head + wholeEvents(), "/chat/x", "HTTP/1.0"});
    EXPECT_FALSE(answer.complete && answer.status == 200);
}

TEST_F(EngineAnswersTest, status000_ofOneEngine_anotherOneServes)
{
    addEngine("e1").willReply({statusReply("000")});
    addEngine("e2").willReply({test::plainReply(200, "two")});
    start();
    for (int i = 0; i < mostRequests && m_engines["e1"]->requests().empty(); ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
    EXPECT_FALSE(m_engines["e1"]->requests().empty());
}

TEST_F(EngineAnswersTest, status000_toARequestThatMayRunOnce_isAFailure)
{
    auto &engine = addEngine("e1");
    start();
    for (const auto *status : {"000", "099", "600", "0200"}) {
        engine.willReply({statusReply(status)});
        EXPECT_EQ(ask(request("POST", "/book/x", {}, "a")).status, 502) << status;
    }
}

} // namespace ibisfork::gateway
