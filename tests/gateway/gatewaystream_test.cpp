#include "gatewayfixture.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

using test::GatewayTest;

namespace {

constexpr const char *unframedStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                           "Ibisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\n\r\n";

} // namespace

TEST_F(GatewayTest, stream_isForwardedEventByEvent)
{
    addEngine("e1").willReply({test::streamReply(1, 5)});
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body.find("id: 1"), 0U);
    EXPECT_NE(answer.body.find("data: t5"), std::string::npos);
}

TEST_F(GatewayTest, stream_brokenMidEvent_goesOnElsewhereWithoutGapOrRepeat)
{
    for (const auto *id : {"e1", "e2"}) {
        auto &engine = addEngine(id);
        engine.willReply({test::brokenStream(1, 3)});
        engine.willResumeWith(test::streamReply(4, 6));
    }
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    std::string expected;
    for (int i = 1; i <= 6; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
    }
    EXPECT_EQ(answer.body, expected);
    EXPECT_EQ(m_engines["e1"]->requests().size(), 1U);
    EXPECT_EQ(m_engines["e2"]->requests().size(), 1U);
    for (const auto *id : {"e1", "e2"}) {
        const auto last = m_engines[id]->requests().front().head.headers.find("Last-Event-Id");
        EXPECT_TRUE(!last || last == "3");
    }
}

TEST_F(GatewayTest, stream_silentEngine_goesOnElsewhereAfterTheFirstIsClosed)
{
    addEngine("e1").willReply({{""}});
    addEngine("e2").willReply({test::streamReply(1, 2)});
    start();
    for (int i = 0; i < 4; ++i) {
        const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.status, 200);
    }
    EXPECT_TRUE(until([&] { return m_engines["e1"]->open() == 0; }));
}

TEST_F(GatewayTest, streamWithoutLength_connectionEndsCleanly_isForwardedWhole)
{
    addEngine("e1").willReply({{unframedStreamHead + std::string("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"), true}});
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
}

TEST_F(GatewayTest, streamWithoutLength_endsInsideAnEvent_goesOnElsewhereWithoutGapOrRepeat)
{
    for (const auto *id : {"e1", "e2"}) {
        auto &engine = addEngine(id);
        engine.willReply({{unframedStreamHead + std::string("id: 1\ndata: t1\n\nid: 2\nda"), true}});
        engine.willResumeWith(test::streamReply(2, 3));
    }
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
}

TEST_F(GatewayTest, streamWithoutLength_endsBeforeItsFirstEvent_isNotTakenForComplete)
{
    addEngine("e1").willReply({{unframedStreamHead, true}});
    addEngine("e2").willReply({test::streamReply(1, 2)});
    start();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(ask(request("POST", "/chat/x", {}, "abc")).body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
    }
}

} // namespace ibisfork::gateway
