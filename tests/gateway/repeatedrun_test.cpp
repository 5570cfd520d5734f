#include <array>
#include <string_view>
#include <tuple>

#include <gtest/gtest.h>

#include <ibisfork/base/names.h>

#include "peernodesfixture.h"

namespace ibisfork::gateway {

using test::EngineReply;

namespace {

/// A kind of route, by how often its requests may run.
struct RouteKind
{
    const char *name;
    const char *type;
    bool isResumable;
    bool mayRunAgain;

    bool isStream() const { return std::string_view(type) == "streaming"; }
};

constexpr RouteKind idempotent{"idempotent", "idempotent", false, true};
constexpr RouteKind atMostOnce{"atMostOnce", "non_idempotent", false, false};
constexpr RouteKind stream{"stream", "streaming", false, false};
constexpr RouteKind resumableStream{"resumableStream", "streaming", true, true};

/// What becomes of the first run of a request, at whichever engine it is.
enum class FirstRun {
    Unsure, ///< The smallest model names a low confidence.
    Failed,
    FailedAfterItsBegin,
    ResetBeforeTheAnswer,
    ClosedBeforeTheAnswer,
    ResetWithinTheHead,
    BrokenOff,
    Malformed,
    ForeignAnswer,
    Silent,
    SilentAfterItsBegin,
};

constexpr std::array<base::Name<FirstRun>, 11> firstRunNames{{
    {FirstRun::Unsure, "unsure"},
    {FirstRun::Failed, "failed"},
    {FirstRun::FailedAfterItsBegin, "failedAfterItsBegin"},
    {FirstRun::ResetBeforeTheAnswer, "resetBeforeTheAnswer"},
    {FirstRun::ClosedBeforeTheAnswer, "closedBeforeTheAnswer"},
    {FirstRun::ResetWithinTheHead, "resetWithinTheHead"},
    {FirstRun::BrokenOff, "brokenOff"},
    {FirstRun::Malformed, "malformed"},
    {FirstRun::ForeignAnswer, "foreignAnswer"},
    {FirstRun::Silent, "silent"},
    {FirstRun::SilentAfterItsBegin, "silentAfterItsBegin"},
}};

EngineReply wholeAnswer(const RouteKind &kind)
{
    return kind.isStream() ? test::streamReply(1, 2) : test::plainReply(200, "whole");
}

/// The answer up to the middle of its body.
EngineReply beginOf(const RouteKind &kind, bool isReset)
{
    auto reply = wholeAnswer(kind);
    reply.bytes.resize(kind.isStream() ? reply.bytes.find("id: 2") : reply.bytes.size() - 2);
    reply.reset = isReset;
    return reply;
}

EngineReply replyOf(const RouteKind &kind, FirstRun run)
{
    switch (run) {
    case FirstRun::Unsure:
        return test::withHeader(wholeAnswer(kind), "Ibisfork-Confidence: 10");
    case FirstRun::Failed:
        return test::plainReply(500, "broken");
    case FirstRun::FailedAfterItsBegin:
        return test::brokenStream(1, 1);
    case FirstRun::ResetBeforeTheAnswer:
        return {"", false, true};
    case FirstRun::ClosedBeforeTheAnswer:
        return {"", true};
    case FirstRun::ResetWithinTheHead:
        return {"HTTP/1.1 200 OK\r\nIbis", false, true};
    case FirstRun::BrokenOff:
        return beginOf(kind, true);
    case FirstRun::Malformed:
        return {"no answer\r\n\r\n"};
    case FirstRun::ForeignAnswer:
        return {
            "HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: other\r\nIbisfork-Response-Seal: s\r\nContent-Length: 1\r\n\r\nx"};
    case FirstRun::Silent:
        return {""};
    case FirstRun::SilentAfterItsBegin:
        return beginOf(kind, false);
    }
    return {};
}

} // namespace

/// Engines at which each first run of a request ends badly or unsure, on routes of every kind with attempts left. What
/// the engines have run is counted from the outside.
class RepeatedRunTest : public test::PeerNodesTest, public testing::WithParamInterface<std::tuple<RouteKind, FirstRun>>
{
protected:
    static constexpr const char *path = "/any/x";

    RepeatedRunTest()
    {
        auto any = route("any", "/any/", kind().type, 3);
        any["resumable"] = kind().isResumable;
        any["timeoutMs"] = 1000;
        any["goalMs"] = 100;
        any["itlTargetMs"] = 100;
        any["sizes"] = {"small", "large"};
        m_configuration["routes"].push_back(any);
    }

    static const RouteKind &kind() { return std::get<0>(GetParam()); }
    static FirstRun firstRun() { return std::get<1>(GetParam()); }

    std::string anyRequest() const { return request("POST", path, "Ibisfork-Model: *\r\n", "hello"); }

    void expectRunsAsAllowed() const
    {
        if (kind().mayRunAgain) {
            EXPECT_GT(runsOf(path), 1U);
        } else {
            EXPECT_EQ(runsOf(path), 1U);
        }
    }
};

// Guards against a second run of a request that may run once (TWICE): a model that is unsure was one way to it.
TEST_P(RepeatedRunTest, firstRun_endsOtherThanWell_requestRunsAgainOnlyIfItMay)
{
    answerWith(replyOf(kind(), firstRun()));
    startNodes({Cut::None});
    askCut(anyRequest());
    expectRunsAsAllowed();
}

TEST_P(RepeatedRunTest, firstRunAtAnotherNode_endsOtherThanWell_requestRunsAgainOnlyIfItMay)
{
    answerWith(replyOf(kind(), firstRun()));
    startNodes({Cut::Refused, Cut::None, Cut::None});
    askCut(anyRequest());
    expectRunsAsAllowed();
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         RepeatedRunTest,
                         testing::Combine(testing::Values(idempotent, atMostOnce, stream, resumableStream),
                                          testing::ValuesIn([] {
                                              std::vector<FirstRun> all;
                                              for (const auto &item : firstRunNames) {
                                                  all.push_back(item.value);
                                              }
                                              return all;
                                          }())),
                         [](const auto &info) {
                             return std::string(std::get<0>(info.param).name) + '_'
                                 + std::string(base::nameOf(firstRunNames, std::get<1>(info.param)));
                         });

/// As above, with engines of which the smallest model alone is unsure.
class UnsureModelTest : public RepeatedRunTest
{
};

// Guards against the loss of the first answer where no second run may follow it.
TEST_P(UnsureModelTest, requestMayRunOnce_firstAnswerIsPassedOnAtOnce)
{
    answerWith(replyOf(kind(), firstRun()));
    startNodes({Cut::None});
    const auto answer = askCut(anyRequest());
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.find("Ibisfork-Confidence"), "10");
    EXPECT_EQ(answer.body, kind().isStream() ? test::streamBody(1, 2) : "whole");
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         UnsureModelTest,
                         testing::Combine(testing::Values(atMostOnce, stream), testing::Values(FirstRun::Unsure)),
                         [](const auto &info) { return std::string(std::get<0>(info.param).name); });

} // namespace ibisfork::gateway
