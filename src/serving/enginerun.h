#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <ibisfork/base/names.h>

#include "net/timer.h"
#include "serving/streamcanceller.h"
#include "upstream/enginestream.h"

namespace ibisfork::serving {

/// Whether a generation that failed was executed.
enum class RunFailureKind {
    /// The engine did not execute the request.
    NotRun,
    /// The engine rejected the request as invalid and did not execute it.
    Rejected,
    /// The engine process ended during the generation.
    Crashed,
    /// The generation ran in part and is confirmed to be stopped.
    Stopped,
    /// The generation may still be running.
    Unknown,
};
inline constexpr std::array<base::Name<RunFailureKind>, 5> runFailureKindNames{{
    {RunFailureKind::NotRun, "not-run"},
    {RunFailureKind::Rejected, "rejected"},
    {RunFailureKind::Crashed, "crashed"},
    {RunFailureKind::Stopped, "stopped"},
    {RunFailureKind::Unknown, "unknown"},
}};

/// The reason why a generation failed.
struct RunFailure
{
    RunFailureKind kind = RunFailureKind::Unknown;
    /// HTTP status from the engine; 0 if there was none.
    int status = 0;
};

/// Callbacks of an EngineRun.
struct EngineRunHandlers
{
    /// The response head of the engine process @p incarnation has arrived.
    std::function<void(const std::string &incarnation)> greeting;
    /// A token of the generated text; tokens arrive in order, without gaps or duplicates.
    std::function<void(const std::string &text)> token;
    std::function<void(const upstream::EngineUsage &)> end;
    std::function<void(const RunFailure &)> failed;
    /// The connection was lost, possibly because the engine process ended. May be empty.
    std::function<void()> connectionLost;
};

/// Timeouts of an EngineRun.
struct EngineRunTiming
{
    net::HttpTimeouts timeouts;
    /// Wait for the response head after which the engine is probed at /v1/load to see whether it still responds.
    base::Duration checkDelay{};
};

/// One generation on one engine. Resumes the stream over a new connection when the connection breaks or goes silent; if
/// that fails, finds out whether the generation still runs. Exactly one of the handlers end and failed is called; the
/// run may be destroyed from either.
class EngineRun
{
public:
    /// @p knownIncarnation is the last known incarnation of the engine process, or empty.
    EngineRun(event_base *base,
              StreamCanceller &canceller,
              net::Address address,
              const upstream::EngineRequest &request,
              const EngineRunTiming &timing,
              std::string knownIncarnation,
              EngineRunHandlers handlers);
    ~EngineRun();
    EngineRun(const EngineRun &) = delete;
    EngineRun &operator=(const EngineRun &) = delete;

    /// Closes the connection; no handler is called afterwards. Does not cancel the generation on the engine.
    void stop();
    /// Stops reading from the engine, also over later connections, until resumeReading().
    void pauseReading();
    void resumeReading();
    /// Whether the generation is known not to run on the engine any more, so that it no longer occupies a slot there.
    bool finished() const { return m_finished; }
    const net::Address &address() const { return m_address; }
    /// The engine's id of the stream; empty until the response head has arrived.
    const std::string &streamId() const { return m_resumePoint.identity.streamId; }

private:
    using LoadOutcome = std::variant<net::HttpResponse, net::HttpFailure>;

    upstream::EngineStreamHandlers streamHandlers();
    void onGreeting(const upstream::EngineStreamIdentity &greeting);
    void onToken(const std::string &text);
    void onEnd(const upstream::EngineUsage &usage);
    void onStreamFailed(const upstream::EngineFailure &failure);
    void onStartFailed(const upstream::EngineFailure &failure);
    void onResumeFailed(const upstream::EngineFailure &failure);
    void scheduleResume();
    void resume();
    void scheduleCheck();
    void checkEngine();
    void stopCheck();
    void onCheckResult(const LoadOutcome &outcome);
    std::unique_ptr<net::HttpCall> requestLoad(base::Duration within,
                                               std::function<void(const LoadOutcome &)> answered);
    void probe();
    void onProbeResult(const LoadOutcome &outcome);
    void onProbeFailed(const net::HttpFailure &failure);
    void cancelGeneration();
    void fail(const RunFailure &failure);
    void closeStream();

    event_base *m_base;
    StreamCanceller &m_canceller;
    net::Address m_address;
    net::HttpTimeouts m_timeouts;
    base::Duration m_checkDelay;
    std::string m_knownIncarnation;
    EngineRunHandlers m_handlers;
    upstream::EngineResumePoint m_resumePoint;
    int m_disconnects = 0;
    int m_disconnectsSinceToken = 0;
    bool m_paused = false;
    bool m_finished = false;
    int m_probes = 0;
    net::Timer m_resumeTimer;
    net::Timer m_probeTimer;
    net::Timer m_checkTimer;
    std::unique_ptr<upstream::EngineStream> m_stream;
    std::unique_ptr<net::HttpCall> m_probe;
    std::unique_ptr<net::HttpCall> m_engineCheck;
    /// Set to null when the run is stopped, so that late callbacks of the canceller, which outlives it, do nothing.
    std::shared_ptr<EngineRun *> m_self;
};

} // namespace ibisfork::serving
