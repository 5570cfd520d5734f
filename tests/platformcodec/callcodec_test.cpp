#include "platform/callcodec.h"

#include <gtest/gtest.h>

namespace ibisfork::platform {

using namespace std::chrono_literals;

class CallCodecTest : public testing::Test
{
protected:
    CallCodecTest()
    {
        m_head.method = "POST";
        m_head.target = "/a/b?q=1";
        m_head.headers.add("Host", "h.example");
    }

    void add(const char *name, const char *value) { m_head.headers.add(name, value); }

    http::RequestHead m_head;
};

TEST_F(CallCodecTest, call_complete_isRead)
{
    add("ibisfork-attempt-id", "9c41");
    add("Ibisfork-Model", "*");
    add("Ibisfork-Token-Usage", "1460,80");
    add("Ibisfork-Prefix-Hash", "5c1e:800,91bd:410, e440:250");
    add("Ibisfork-Deadline-Ms", "25000");
    add("Last-Event-Id", "12");
    add("Session", "s1");
    const auto call = decodeCall(m_head);
    EXPECT_EQ(call.id, "9c41");
    EXPECT_EQ(call.path, "/a/b");
    EXPECT_TRUE(call.autoSelectModel);
    EXPECT_EQ(call.promptTokens, 1460U);
    EXPECT_EQ(call.maxOutputTokens, 80U);
    ASSERT_EQ(call.promptParts.size(), 3U);
    EXPECT_EQ(call.promptParts[2].id, "e440");
    EXPECT_EQ(call.promptParts[2].tokens, 250U);
    EXPECT_EQ(call.timeout, 25000ms);
    EXPECT_EQ(call.lastEventId, 12U);
    EXPECT_EQ(call.session, "s1");
}

struct OddHeader
{
    const char *name;
    const char *value;
};

class OddHeadersTest : public CallCodecTest, public testing::WithParamInterface<OddHeader>
{
};

TEST_P(OddHeadersTest, header_thatMakesNoSense_countsAsAbsent)
{
    add(GetParam().name, GetParam().value);
    const auto call = decodeCall(m_head);
    EXPECT_FALSE(call.timeout);
    EXPECT_FALSE(call.lastEventId);
    EXPECT_EQ(call.promptTokens, 0U);
    EXPECT_FALSE(call.autoSelectModel);
}

INSTANTIATE_TEST_SUITE_P(Headers,
                         OddHeadersTest,
                         testing::Values(OddHeader{"Ibisfork-Deadline-Ms", "soon"},
                                         OddHeader{"Ibisfork-Deadline-Ms", ""},
                                         OddHeader{"Ibisfork-Deadline-Ms", "12x"},
                                         OddHeader{"Ibisfork-Deadline-Ms", "99999999999999999999999"},
                                         OddHeader{"Last-Event-Id", "-1"},
                                         OddHeader{"Ibisfork-Token-Usage", "1460"},
                                         OddHeader{"Ibisfork-Token-Usage", "a,b"},
                                         OddHeader{"Ibisfork-Prefix-Hash", ",,:,"},
                                         OddHeader{"Ibisfork-Model", "**"}));

TEST_F(CallCodecTest, dispatch_headersOfTheConnectionAndTheSystem_areNotPassedOn)
{
    add("Connection", "close, X-Hop");
    add("X-Hop", "1");
    add("X-Kept", "2");
    add("Ibisfork-Credential", "key");
    add("Ibisfork-Tenant", "forged");
    add("Ibisfork-Hold", "h");
    add("Kv-Fetch", "a:1");
    add("Ibisfork-Model", "*");
    gateway::Dispatch dispatch;
    dispatch.engineId = "e1";
    dispatch.workspace = "w1";
    dispatch.model = "m2";
    dispatch.timeLeft = 900ms;
    const auto out = encodeDispatch(m_head, dispatch).headers;
    for (const auto *name : {"Connection", "X-Hop", "Ibisfork-Credential", "Ibisfork-Hold", "Kv-Fetch"}) {
        EXPECT_FALSE(out.find(name)) << name;
    }
    EXPECT_EQ(out.find("X-Kept"), "2");
    EXPECT_EQ(out.find("Ibisfork-Tenant"), "w1");
    EXPECT_EQ(out.count("Ibisfork-Tenant"), 1U);
    EXPECT_EQ(out.find("Ibisfork-Model"), "m2");
    EXPECT_EQ(out.count("Ibisfork-Model"), 1U);
    EXPECT_EQ(out.find("Ibisfork-Deadline-Ms"), "900");
}

TEST_F(CallCodecTest, answer_ofAnEngine_isRead)
{
    http::ResponseHead head;
    head.status = 503;
    head.headers.add("Ibisfork-Not-Executed", "1");
    head.headers.add("Ibisfork-Engine-Load", "3,1,8");
    head.headers.add("Ibisfork-Confidence", "42");
    const auto answer = decodeAnswer(head);
    EXPECT_TRUE(answer.notRun);
    ASSERT_TRUE(answer.load);
    EXPECT_EQ(answer.load->running, 3U);
    EXPECT_EQ(answer.load->waiting, 1U);
    EXPECT_EQ(answer.load->slots, 8U);
    EXPECT_EQ(answer.confidence, 42);
    EXPECT_FALSE(answer.isSigned);
}

struct LoadCase
{
    const char *text;
    bool isRead;
    std::optional<double> slowdown{};
    bool isPartlyUnreadable = false;
};

std::ostream &operator<<(std::ostream &out, const LoadCase &item)
{
    return out << '"' << item.text << '"';
}

class LoadCasesTest : public testing::TestWithParam<LoadCase>
{
};

TEST_P(LoadCasesTest, load_ofAnEngine_isReadAsFarAsItCanBe)
{
    http::ResponseHead head;
    head.status = 200;
    head.headers.add("Ibisfork-Engine-Load", GetParam().text);
    const auto answer = decodeAnswer(head);
    EXPECT_EQ(answer.load.has_value(), GetParam().isRead);
    EXPECT_EQ(answer.hasUnreadableLoad, !GetParam().isRead || GetParam().isPartlyUnreadable);
    EXPECT_EQ(answer.load ? answer.load->slowdown : std::nullopt, GetParam().slowdown);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         LoadCasesTest,
                         testing::Values(LoadCase{"3,1,8", true},
                                         LoadCase{"3,1,8,100", true, 1.0},
                                         LoadCase{"3, 1, 8, 250", true, 2.5},
                                         LoadCase{"3,1,8,100,7", true, 1.0},
                                         LoadCase{"3,1,8,-5", true, std::nullopt, true},
                                         LoadCase{"3,1,8,nan", true, std::nullopt, true},
                                         LoadCase{"3,1,8,0", true, std::nullopt, true},
                                         LoadCase{"3,1,8,99999999999", true, std::nullopt, true},
                                         LoadCase{"4000000000,1,8", true},
                                         LoadCase{"-3,1,8", false},
                                         LoadCase{"3,1", false},
                                         LoadCase{"a,b,c", false},
                                         LoadCase{"", false}));

struct LimitCase
{
    const char *text;
    std::optional<double> perSecond;
};

std::ostream &operator<<(std::ostream &out, const LimitCase &item)
{
    return out << '"' << item.text << '"';
}

class StartLimitHeaderTest : public testing::TestWithParam<LimitCase>
{
};

TEST_P(StartLimitHeaderTest, header_isReadOrKnownToBeUnreadable)
{
    http::ResponseHead head;
    head.status = 200;
    EXPECT_FALSE(decodeAnswer(head).startLimit);
    EXPECT_FALSE(decodeAnswer(head).hasUnreadableLimit);
    head.headers.add("Server-Limit", GetParam().text);
    EXPECT_EQ(decodeAnswer(head).startLimit, GetParam().perSecond);
    EXPECT_EQ(decodeAnswer(head).hasUnreadableLimit, !GetParam().perSecond);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         StartLimitHeaderTest,
                         testing::Values(LimitCase{"1", 1.0},
                                         LimitCase{"1.1", 1.1},
                                         LimitCase{"0", 0.0},
                                         LimitCase{"250.75", 250.75},
                                         LimitCase{"", {}},
                                         LimitCase{"-1", {}},
                                         LimitCase{"inf", {}},
                                         LimitCase{"nan", {}},
                                         LimitCase{"1e9", {}},
                                         LimitCase{"2 a second", {}}));

TEST_F(CallCodecTest, refusalLimitOfAnEngine_isReadOrMarkedUnreadable)
{
    http::ResponseHead head{200, {}};
    EXPECT_FALSE(decodeAnswer(head).refusalLimit);
    EXPECT_FALSE(decodeAnswer(head).hasUnreadableRefusalLimit);
    head.headers.add("Server-Brittle", "12");
    EXPECT_EQ(decodeAnswer(head).refusalLimit, 12U);
    http::ResponseHead odd{200, {}};
    odd.headers.add("Server-Brittle", "-2");
    EXPECT_FALSE(decodeAnswer(odd).refusalLimit);
    EXPECT_TRUE(decodeAnswer(odd).hasUnreadableRefusalLimit);
}

TEST_F(CallCodecTest, forwardedRequest_keepsTheCallersHeaders_andTellsTheTimeLeft)
{
    http::RequestHead head{"POST", "/a", {}};
    head.headers.add("Ibisfork-Credential", "key1");
    head.headers.add("Ibisfork-Deadline-Ms", "900");
    head.headers.add("Last-Event-Id", "3");
    head.headers.add("Connection", "close");
    const auto fresh = encodeForward(head, std::chrono::milliseconds(400), std::nullopt);
    EXPECT_EQ(fresh.headers.find("Ibisfork-Credential"), "key1");
    EXPECT_EQ(fresh.headers.find("Ibisfork-Deadline-Ms"), "400");
    EXPECT_EQ(fresh.headers.count("Ibisfork-Deadline-Ms"), 1U);
    EXPECT_EQ(fresh.headers.find("Last-Event-Id"), "3");
    EXPECT_FALSE(fresh.headers.find("Connection"));
    const auto resumed = encodeForward(head, std::chrono::milliseconds(400), 7);
    EXPECT_EQ(resumed.headers.find("Last-Event-Id"), "7");
    EXPECT_EQ(resumed.headers.count("Last-Event-Id"), 1U);
}

TEST_F(CallCodecTest, restTime_isReadOf503Alone_brokenOnesAreToldApart)
{
    const auto answerWith = [](int status, const char *value) {
        http::ResponseHead head{status, {}};
        head.headers.add("Retry-After", value);
        return decodeAnswer(head);
    };
    EXPECT_EQ(answerWith(503, "3").restTime, std::chrono::milliseconds(3000));
    EXPECT_EQ(answerWith(503, "0.25").restTime, std::chrono::milliseconds(250));
    EXPECT_FALSE(answerWith(429, "3").restTime);
    EXPECT_FALSE(answerWith(200, "3").restTime);
    for (const char *value : {"-3", "soon", "nan", "inf", "1e9", "", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
        EXPECT_FALSE(answerWith(503, value).restTime) << value;
        EXPECT_TRUE(answerWith(503, value).hasUnreadableRestTime) << value;
    }
    EXPECT_TRUE(answerWith(503, "99999999999999999999").restTime);
    EXPECT_FALSE(decodeAnswer({503, {}}).hasUnreadableRestTime);
}

TEST_F(CallCodecTest, reservation_isAskedForOfOneEngine_andItsIdIsSentWithTheRequest)
{
    const auto call = encodeReserve({"e1", "10.0.0.1:80", 1540, 500ms});
    EXPECT_EQ(call.find("POST /ibisfork/hold-take HTTP/1.1\r\n"), 0U);
    EXPECT_NE(call.find("Ibisfork-Expect-Instance: e1\r\n"), std::string::npos);
    EXPECT_NE(call.find(R"({"tokenCount":1540,"ttlMs":500})"), std::string::npos);
    EXPECT_EQ(decodeReservation(R"({"reserve":"h7"})"), "h7");
    for (const char *body : {"", "h7", "[]", R"({"reserve":7})", R"({"other":"h7"})"}) {
        EXPECT_EQ(decodeReservation(body), "") << body;
    }
    gateway::Dispatch dispatch;
    EXPECT_FALSE(encodeDispatch(m_head, dispatch).headers.find("Ibisfork-Hold"));
    dispatch.reservation = "h7";
    EXPECT_EQ(encodeDispatch(m_head, dispatch).headers.find("Ibisfork-Hold"), "h7");
}

} // namespace ibisfork::platform
