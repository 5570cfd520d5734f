#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpcall.h"
#include "upstream/sseparser.h"

namespace ibisfork::upstream {

/// A generation to run on an engine.
struct EngineRequest
{
    std::string requestId;
    /// JSON body in the form of chat completions, with the version as its model.
    std::string body;
    int priority = 1;
};

/// What an engine says of itself at the head of an answer.
struct EngineGreeting
{
    std::string incarnation;
    std::string streamId;
};

/// What the engine counted, at the end of a stream.
struct EngineUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    /// How sure the engine is of the answer, from 0 to 1, where it says so.
    std::optional<double> confidence{};
};

enum class EngineFailureKind {
    /// No byte of the request has left.
    NotSent,
    /// The engine answered that it did not run the request.
    Refused,
    /// The connection broke or went silent; the request may run.
    Lost,
    /// The engine answers nobody; the request may run.
    Silent,
    /// The answer broke the protocol.
    Malformed,
    /// The answer is that of another request or stream.
    OtherStream,
    /// The engine has started anew since the stream began.
    OtherIncarnation,
};

struct EngineFailure
{
    EngineFailureKind kind = EngineFailureKind::Lost;
    int status = 0;
    /// Nobody listens at the engine's address.
    bool connectRefused = false;
};

/// Where a broken stream goes on.
struct EngineResumePoint
{
    EngineGreeting greeting;
    /// Pieces that have come already.
    std::uint64_t offset = 0;
};

struct EngineStreamHandlers
{
    std::function<void(const EngineGreeting &)> greeting;
    /// A piece of the answer; @p offset counts pieces from 0 without gaps.
    std::function<void(std::uint64_t offset, const std::string &text)> token;
    std::function<void(const EngineUsage &)> end;
    std::function<void(const EngineFailure &)> failed;
};

/// A generation on an engine, as a stream. Destroying it cancels it. Exactly one of end and failed is called.
class EngineStream
{
public:
    /// Starts @p request from its first token.
    static std::unique_ptr<EngineStream> start(event_base *base,
                                               const net::Address &address,
                                               const EngineRequest &request,
                                               const net::HttpTimeouts &timeouts,
                                               EngineStreamHandlers handlers);
    /// Goes on with a stream of the engine on a new connection.
    static std::unique_ptr<EngineStream> resume(event_base *base,
                                                const net::Address &address,
                                                const EngineResumePoint &point,
                                                const net::HttpTimeouts &timeouts,
                                                EngineStreamHandlers handlers);

    void pauseReading() { m_call->pauseReading(); }
    void resumeReading() { m_call->resumeReading(); }
    /// No handler is called after this.
    void stop() { m_finished = true; }

private:
    EngineStream(event_base *base,
                 const net::Address &address,
                 net::HttpRequest request,
                 const EngineResumePoint &point,
                 const net::HttpTimeouts &timeouts,
                 EngineStreamHandlers handlers);

    void onHead(const net::HttpHead &head);
    void onEvent(const ServerSentEvent &event);
    void onDone(const net::HttpOutcome &outcome);
    void finish(const std::variant<EngineUsage, EngineFailure> &result);

    EngineStreamHandlers m_handlers;
    std::string m_requestId;
    EngineGreeting m_expected;
    std::uint64_t m_nextOffset;
    int m_status = 0;
    bool m_finished = false;
    SseParser m_parser;
    std::unique_ptr<net::HttpCall> m_call;
};

} // namespace ibisfork::upstream
