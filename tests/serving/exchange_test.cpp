#include "serving/exchange.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "net/httpcall.h"
#include "serving/fakeengine.h"

namespace ibisfork::serving {

using namespace std::chrono_literals;

namespace {

/// The response as the caller received it.
struct CallerResult
{
    int status = 0;
    std::string body;
    bool cut = false;
};

/// A scripted engine fault and the expected outcome.
struct FaultCase
{
    const char *name;
    std::vector<FakeAnswer> script;
    /// Expected result of a JSON request: the content, or the code and run state of the error response.
    std::string json;
    /// Expected result of a streaming request: the content, "cut" for an aborted stream, or the error as above.
    std::string streamed;
    std::string loadIncarnation = "i1";
    unsigned runs = 1;
};

std::ostream &operator<<(std::ostream &out, const FaultCase &faultCase)
{
    return out << faultCase.name;
}

FakeAnswer answer(std::vector<std::string> events, FakeEnd end = FakeEnd::Whole)
{
    FakeAnswer out;
    out.events = std::move(events);
    out.end = end;
    return out;
}

FakeAnswer refusal(int status)
{
    FakeAnswer out;
    out.status = status;
    return out;
}

FakeAnswer withoutHead(FakeEnd end)
{
    FakeAnswer out;
    out.withoutHead = true;
    out.end = end;
    return out;
}

FakeAnswer otherIncarnation()
{
    auto out = answer({tokenEvent(1, "x"), tokenEvent(2, "y"), endEvent(3)});
    out.incarnation = "i2";
    return out;
}

FakeAnswer otherStream()
{
    auto out = answer({tokenEvent(1, "x"), tokenEvent(2, "y"), endEvent(3)});
    out.streamId = "s9";
    return out;
}

FakeAnswer otherRequest()
{
    auto out = answer({tokenEvent(0, "x"), endEvent(1)});
    out.requestId = "another";
    return out;
}

const std::string lost = "upstream_failed unknown";

std::vector<FaultCase> faultCases()
{
    const std::vector<std::string> whole{tokenEvent(0, "a"), tokenEvent(1, "b"), tokenEvent(2, "c"), endEvent(3)};
    const std::vector<std::string> rest{tokenEvent(1, "b"), tokenEvent(2, "c"), endEvent(3)};
    const auto cut = FakeEnd::Cut;
    return {
        {"whole", {answer(whole)}, "abc", "abc"},
        {"cutAfterFirstPiece", {answer({tokenEvent(0, "a")}, cut), answer(rest)}, "abc", "abc"},
        {"cutInsideAnEvent", {answer({tokenEvent(0, "a"), "id: 1\ndata: {\"cho"}, cut), answer(rest)}, "abc", "abc"},
        {"cutBeforeFirstPiece", {answer({}, cut), answer(whole)}, "abc", "abc"},
        {"cutTwice",
         {answer({tokenEvent(0, "a")}, cut),
          answer({tokenEvent(1, "b")}, cut),
          answer({tokenEvent(2, "c"), endEvent(3)})},
         "abc",
         "abc"},
        {"cutBeforeLastEvent", {answer({whole[0], whole[1], whole[2]}, cut), answer({endEvent(3)})}, "abc", "abc"},
        {"endWithoutLastEvent", {answer({tokenEvent(0, "a")}, FakeEnd::EndWithoutLast), answer(rest)}, "abc", "abc"},
        {"silentAfterFirstPiece", {answer({tokenEvent(0, "a")}, FakeEnd::Silent), answer(rest)}, "abc", "abc"},
        {"silentTwice",
         {answer({tokenEvent(0, "a")}, FakeEnd::Silent), answer({}, FakeEnd::Silent), answer(rest)},
         "abc",
         "abc"},
        {"duplicatedPiece", {answer({tokenEvent(0, "a"), tokenEvent(0, "a")}, cut), answer(rest)}, "abc", "abc"},
        {"missingPiece", {answer({tokenEvent(0, "a"), tokenEvent(2, "c"), endEvent(3)}), answer(rest)}, "abc", "abc"},
        {"corruptedPiece", {answer({tokenEvent(0, "a"), "id: 1\ndata: {]\n\n"}), answer(rest)}, "abc", "abc"},
        {"pieceNotUtf8", {answer({tokenEvent(0, "a"), tokenEvent(1, "\xff")}), answer(rest)}, "abc", "abc"},
        {"resumeStartsTooEarly", {answer({tokenEvent(0, "a")}, cut), answer(whole), answer(rest)}, "abc", "abc"},
        {"resumeOfOtherStreamThenRight",
         {answer({tokenEvent(0, "a")}, cut), otherStream(), answer(rest)},
         "abc",
         "abc"},
        {"engineStartedAnew", {answer({tokenEvent(0, "a")}, cut), otherIncarnation()}, lost, "cut", "i2"},
        {"streamForgotten", {answer({tokenEvent(0, "a")}, cut), refusal(404)}, lost, "cut"},
        {"neverResumed",
         {answer({tokenEvent(0, "a")}, cut), answer({}, cut), answer({}, cut), answer({}, cut), answer({}, cut)},
         lost,
         "cut"},
        {"countTooSmall", {answer({tokenEvent(0, "a"), endEvent(3)})}, lost, "cut"},
        {"countTooLarge", {answer({tokenEvent(0, "a"), tokenEvent(1, "b"), endEvent(1)})}, lost, "cut"},
        {"refusedNotRun", {refusal(503)}, "upstream_failed not_run", "upstream_failed not_run"},
        {"refusedForGood", {refusal(400)}, "bad_request not_run", "bad_request not_run"},
        {"failedInside", {refusal(500)}, lost, lost},
        {"cutBeforeHead", {withoutHead(cut)}, lost, lost},
        {"silentBeforeHead", {withoutHead(FakeEnd::Silent)}, lost, lost},
        {"answerOfOtherRequest", {otherRequest()}, lost, lost},
    };
}

} // namespace

class ExchangeTest : public testing::TestWithParam<FaultCase>
{
protected:
    ExchangeTest()
        : m_base(net::makeEventBase())
        , m_decisions(10)
        , m_settings(settings())
        , m_context(m_base.get(), m_settings, m_metrics, m_decisions, "life-1")
        , m_engine(m_base.get())
        , m_server(m_base.get(), {"127.0.0.1", 0}, {}, [this](const net::HttpServerRequest &request) { take(request); })
    {
        m_context.recordBill = [this](const ledger::Bill &bill, const std::function<void()> &recorded) {
            m_records.push_back(bill);
            recorded();
        };
        // The upstreams are added by a second update: no other node can have held their slots before, so they are
        // usable without a wait.
        setUpstreams({});
        setUpstreams({m_engine.address()});
    }

    static settings::Settings settings()
    {
        settings::Settings out;
        out.node.name = "n";
        out.timing.upstreamSilence = 100ms;
        out.timing.connectTimeout = 200ms;
        return out;
    }

    void setUpstreams(const std::vector<std::string> &addresses)
    {
        fleet::Config config;
        config.revision = ++m_revision;
        config.members["n"] = {"n", "life-1", {}, {}, {}};
        const fleet::VersionId id{"m", "1"};
        config.versions[id] = {id};
        config.workspaces["w"] = {"w", {}, {id}, {}, {}};
        for (const auto &address : addresses) {
            fleet::Upstream upstream;
            upstream.id = "e" + std::to_string(config.upstreams.size());
            upstream.address = address;
            upstream.versions = {id};
            upstream.limit = {8, 8, 1ms};
            config.upstreams[upstream.id] = upstream;
        }
        m_context.limits.update(config, base::monotonicNow());
        m_context.view
            = std::make_shared<const FleetView>(std::make_shared<const fleet::Config>(config), m_context.limits);
        m_context.confirmedUntil = base::TimePoint::max();
    }

    void take(const net::HttpServerRequest &request)
    {
        ExchangeRequest exchangeRequest;
        exchangeRequest.id = "r" + std::to_string(m_exchanges.size());
        exchangeRequest.workspace = "w";
        exchangeRequest.chat = parseChatRequest(request.request.body);
        exchangeRequest.deadline = m_deadline;
        m_exchanges.push_back(
            std::make_unique<Exchange>(m_context, exchangeRequest, request.reply, [this] { ++m_done; }));
        m_exchanges.back()->start();
    }

    /// Sends a chat completion request and runs the event loop until the response has ended.
    CallerResult chat(bool stream)
    {
        CallerResult seen;
        net::HttpRequest request;
        request.method = net::HttpMethod::Post;
        request.path = "/v1/chat/completions";
        request.body = nlohmann::json{{"messages", nlohmann::json::array()}, {"stream", stream}}.dump();
        net::HttpCallHandlers handlers;
        handlers.chunk = [&](std::string_view bytes) {
            seen.body += bytes;
        };
        handlers.done = [&](const net::HttpOutcome &outcome) {
            const auto *head = std::get_if<net::HttpHead>(&outcome);
            seen.status = head != nullptr ? head->status : 0;
            seen.cut = head == nullptr;
            event_base_loopbreak(m_base.get());
        };
        const net::HttpCall call(m_base.get(), m_server.address(), request, 10s, handlers);
        event_base_dispatch(m_base.get());
        return seen;
    }

    static std::string refusalText(const std::string &body)
    {
        const auto json = nlohmann::json::parse(body);
        return json["error"]["code"].get<std::string>() + " " + json["error"]["run"].get<std::string>();
    }

    static std::string streamedText(const CallerResult &seen)
    {
        if (!seen.cut && seen.status != 200) {
            return refusalText(seen.body);
        }
        std::string text;
        bool whole = false;
        upstream::SseParser parser([&](const upstream::ServerSentEvent &event) {
            if (event.data == "[DONE]") {
                whole = true;
                return;
            }
            const auto json = nlohmann::json::parse(event.data);
            text += json["choices"][0]["delta"].value("content", "");
        });
        parser.feed(seen.body);
        EXPECT_EQ(whole, !seen.cut);
        // The amount of text received before the abort depends on timing; it must be a prefix of the complete answer.
        EXPECT_TRUE(!seen.cut || std::string("abc").starts_with(text)) << text;
        return seen.cut ? "cut" : text;
    }

    net::EventBasePtr m_base;
    coord::Revision m_revision = 0;
    base::MetricsRegistry m_metrics;
    DecisionLog m_decisions;
    settings::Settings m_settings;
    Context m_context;
    FakeEngine m_engine;
    net::HttpServer m_server;
    base::Duration m_deadline = 5s;
    int m_done = 0;
    std::vector<ledger::Bill> m_records;
    std::vector<std::unique_ptr<Exchange>> m_exchanges;
};

TEST_P(ExchangeTest, jsonCaller_faultOfEngine_getsWholeAnswerOrRefusal)
{
    m_engine.script = GetParam().script;
    m_engine.loadIncarnation = GetParam().loadIncarnation;
    const auto seen = chat(false);
    ASSERT_FALSE(seen.cut);
    const auto text = seen.status == 200
        ? nlohmann::json::parse(seen.body)["choices"][0]["message"]["content"].get<std::string>()
        : refusalText(seen.body);
    EXPECT_EQ(text, GetParam().json);
    EXPECT_EQ(m_engine.runs, GetParam().runs);
    EXPECT_EQ(m_records.size(), text.ends_with("not_run") ? 0U : 1U);
    EXPECT_EQ(m_done, 1);
}

TEST_P(ExchangeTest, streamingCaller_faultOfEngine_getsWholeAnswerOrCut)
{
    m_engine.script = GetParam().script;
    m_engine.loadIncarnation = GetParam().loadIncarnation;
    EXPECT_EQ(streamedText(chat(true)), GetParam().streamed);
    EXPECT_EQ(m_engine.runs, GetParam().runs);
    EXPECT_EQ(m_done, 1);
}

INSTANTIATE_TEST_SUITE_P(Faults, ExchangeTest, testing::ValuesIn(faultCases()), [](const auto &info) {
    return std::string(info.param.name);
});

class ExchangeRetryTest : public ExchangeTest
{
};

TEST_F(ExchangeRetryTest, nobodyListens_otherUpstreamLives_isAnsweredThere)
{
    setUpstreams({"127.0.0.1:1", m_engine.address()});
    m_engine.script = {answer({tokenEvent(0, "a"), endEvent(1)})};
    EXPECT_EQ(streamedText(chat(true)), "a");
    EXPECT_EQ(m_records.size(), 1U);
}

TEST_F(ExchangeRetryTest, lostBeforeHead_nothingReachedTheCaller_isSentToOneOtherUpstreamAndBilledOnce)
{
    FakeEngine other(m_base.get());
    FakeEngine third(m_base.get());
    setUpstreams({m_engine.address(), other.address(), third.address()});
    for (auto *engine : {&m_engine, &other, &third}) {
        engine->script = {withoutHead(FakeEnd::Silent)};
    }
    EXPECT_EQ(streamedText(chat(true)), lost);
    EXPECT_EQ(m_engine.runs + other.runs + third.runs, 2U);
    ASSERT_EQ(m_records.size(), 1U);
    EXPECT_EQ(m_records.front().steps.size(), 2U);
}

TEST_F(ExchangeRetryTest, engineStopped_otherUpstreamLives_isAnsweredThereWithinAFractionOfASecond)
{
    FakeEngine other(m_base.get());
    m_settings.timing.upstreamSilence = 10s;
    setUpstreams({m_engine.address(), other.address()});
    m_engine.stopped = true;
    other.script = {answer({tokenEvent(0, "a"), endEvent(1)}), answer({tokenEvent(0, "a"), endEvent(1)})};
    const auto started = base::monotonicNow();
    EXPECT_EQ(streamedText(chat(true)), "a");
    EXPECT_EQ(streamedText(chat(true)), "a");
    EXPECT_LT(base::monotonicNow() - started, 1s);
    EXPECT_EQ(other.runs, 2U);
}

TEST_F(ExchangeRetryTest, engineSlowToAnswer_butAlive_isWaitedFor)
{
    FakeEngine other(m_base.get());
    m_settings.timing.upstreamSilence = 10s;
    m_deadline = 1s;
    setUpstreams({m_engine.address(), other.address()});
    m_engine.script = {withoutHead(FakeEnd::Silent)};
    other.script = {withoutHead(FakeEnd::Silent)};
    EXPECT_EQ(streamedText(chat(true)), "deadline_passed unknown");
    EXPECT_EQ(m_engine.runs + other.runs, 1U);
}

TEST_F(ExchangeRetryTest, lostForGood_cancelled_isSentToOneOtherUpstream)
{
    FakeEngine other(m_base.get());
    setUpstreams({m_engine.address(), other.address()});
    m_engine.script = {answer({tokenEvent(0, "x")}, FakeEnd::Cut), refusal(404)};
    other.script = {answer({tokenEvent(0, "a"), endEvent(1)})};
    const auto seen = chat(false);
    ASSERT_EQ(seen.status, 200) << seen.body;
    EXPECT_THAT(seen.body, testing::HasSubstr("\"content\":\"a\""));
    EXPECT_EQ(m_engine.cancels, 1U);
    EXPECT_EQ(other.runs, 1U);
    EXPECT_EQ(m_records.size(), 1U);
}

TEST_F(ExchangeRetryTest, deadline_engineSlow_isRefusedUnknownAndCancelled)
{
    m_deadline = 50ms;
    m_engine.script = {answer({}, FakeEnd::Silent)};
    EXPECT_EQ(streamedText(chat(true)), "deadline_passed unknown");
    EXPECT_EQ(m_context.limits.running("e0"), 1U);
    while (m_engine.cancels == 0 || m_context.limits.running("e0") > 0) {
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    }
}

TEST_F(ExchangeRetryTest, retryStorm_halfOfUpstreamsFail_attemptsStayWithinBudget)
{
    constexpr std::size_t fresh = 200;
    FakeEngine other(m_base.get());
    setUpstreams({m_engine.address(), other.address()});
    other.script = std::vector<FakeAnswer>(fresh * 2, refusal(503));
    m_engine.script = std::vector<FakeAnswer>(fresh * 2, refusal(503));
    for (std::size_t i = 0; i < fresh; ++i) {
        EXPECT_EQ(streamedText(chat(true)), "upstream_failed not_run");
    }
    EXPECT_GE(m_engine.runs + other.runs, fresh);
    EXPECT_LE(m_engine.runs + other.runs, fresh * 12 / 10);
}

} // namespace ibisfork::serving
