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

/// A generation request sent to an engine.
struct EngineRequest
{
    std::string requestId;
    /// JSON body of a chat completions request; the field `model` holds the version.
    std::string body;
    int priority = 1;
};

/// Identifies the engine process and the stream, from the response headers X-Incarnation and X-Stream-Id.
struct EngineStreamIdentity
{
    std::string incarnation;
    std::string streamId;
};

/// Token counts that the engine reports in the last event of a stream.
struct EngineUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    /// The engine's confidence in the answer, from 0 to 1; empty if not reported.
    std::optional<double> confidence{};
};

enum class EngineFailureKind {
    /// No byte of the request was sent.
    NotSent,
    /// The engine responded with an error status and did not run the request.
    Refused,
    /// The connection was lost or timed out; the request may still be running.
    ConnectionLost,
    /// The engine does not respond to any request; the request may still be running.
    Unresponsive,
    /// The response violates the protocol.
    Malformed,
    /// The response belongs to another request or stream.
    WrongStream,
    /// The engine has restarted since the stream began.
    WrongIncarnation,
};

/// Reason why a stream ended early.
struct EngineFailure
{
    EngineFailureKind kind = EngineFailureKind::ConnectionLost;
    /// HTTP status of the response; 0 if none was received.
    int status = 0;
    /// The connection was refused: no process listens at the engine's address.
    bool connectRefused = false;
};

/// Position at which an interrupted stream is resumed.
struct EngineResumePoint
{
    EngineStreamIdentity identity;
    /// Number of tokens already received.
    std::uint64_t offset = 0;
};

struct EngineStreamHandlers
{
    /// Called once, when the response headers have arrived and match the request or the resumed stream.
    std::function<void(const EngineStreamIdentity &)> identity;
    /// Called for each token of the answer; @p offset is the token's index, contiguous from 0.
    std::function<void(std::uint64_t offset, const std::string &text)> token;
    /// Called when the stream is complete.
    std::function<void(const EngineUsage &)> end;
    /// Called when the stream failed.
    std::function<void(const EngineFailure &)> failed;
};

/// A streamed generation on an engine. Destroying the object cancels the generation. Exactly one of the handlers end
/// and failed is called.
class EngineStream
{
public:
    /// Starts @p request from its first token.
    static std::unique_ptr<EngineStream> start(event_base *base,
                                               const net::Address &address,
                                               const EngineRequest &request,
                                               const net::HttpTimeouts &timeouts,
                                               EngineStreamHandlers handlers);
    /// Resumes a stream of the engine at @p point on a new connection.
    static std::unique_ptr<EngineStream> resume(event_base *base,
                                                const net::Address &address,
                                                const EngineResumePoint &point,
                                                const net::HttpTimeouts &timeouts,
                                                EngineStreamHandlers handlers);

    void pauseReading() { m_call->pauseReading(); }
    void resumeReading() { m_call->resumeReading(); }
    /// Suppresses all further handler calls.
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
    EngineStreamIdentity m_expected;
    std::uint64_t m_nextOffset;
    int m_status = 0;
    bool m_finished = false;
    SseParser m_parser;
    std::unique_ptr<net::HttpCall> m_call;
};

} // namespace ibisfork::upstream
