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

/// What is known of a generation that did not come to its end.
enum class RunFailureKind {
    /// It has not run.
    NotRun,
    /// The engine found fault with the request itself and did not run it.
    Rejected,
    /// The engine ended while it ran.
    Crashed,
    /// It has run in part and no longer runs.
    Stopped,
    /// It may still run.
    Unknown,
};
inline constexpr std::array<base::Name<RunFailureKind>, 5> runFailureKindNames{{
    {RunFailureKind::NotRun, "not-run"},
    {RunFailureKind::Rejected, "rejected"},
    {RunFailureKind::Crashed, "crashed"},
    {RunFailureKind::Stopped, "stopped"},
    {RunFailureKind::Unknown, "unknown"},
}};

struct RunFailure
{
    RunFailureKind kind = RunFailureKind::Unknown;
    int status = 0;
};

struct EngineRunHandlers
{
    std::function<void(const std::string &incarnation)> greeting;
    /// A piece of the answer; pieces come in order, without gaps or repeats.
    std::function<void(const std::string &text)> token;
    std::function<void(const upstream::EngineUsage &)> end;
    std::function<void(const RunFailure &)> failed;
    /// The connection is lost, which may be since the engine ended; may be empty.
    std::function<void()> broken;
};

/// How long a run waits for its engine.
struct EngineRunTiming
{
    net::HttpTimeouts timeouts;
    /// Wait for an answer's head after which the engine is asked whether it still answers at all.
    base::Duration check{};
};

/// One generation on one engine. Goes on over new connections when its stream breaks or goes silent, and finds out
/// what became of it where that fails. Exactly one of end and failed is called; the run may be destroyed from them.
class EngineRun
{
public:
    /// @p knownIncarnation is the engine's last known one, or empty.
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

    /// No handler is called after this; the generation is left as it is.
    void stop();
    void pauseReading();
    void resumeReading();
    /// Whether the engine has ended or refused the generation, so that it counts there no more.
    bool finished() const { return m_finished; }
    const net::Address &address() const { return m_address; }
    /// The engine's name for the stream; empty until it is known.
    const std::string &streamId() const { return m_point.identity.streamId; }

private:
    using LoadOutcome = std::variant<net::HttpResponse, net::HttpFailure>;

    upstream::EngineStreamHandlers streamHandlers();
    void onGreeting(const upstream::EngineStreamIdentity &greeting);
    void onToken(const std::string &text);
    void onEnd(const upstream::EngineUsage &usage);
    void onBroken(const upstream::EngineFailure &failure);
    void onNotStarted(const upstream::EngineFailure &failure);
    void onNotResumed(const upstream::EngineFailure &failure);
    void scheduleResume();
    void resume();
    void armCheck();
    void checkEngine();
    void endCheck();
    void onChecked(const LoadOutcome &outcome);
    std::unique_ptr<net::HttpCall> askLoad(base::Duration within, std::function<void(const LoadOutcome &)> answered);
    void probe();
    void onProbed(const LoadOutcome &outcome);
    void onProbeFailed(const net::HttpFailure &failure);
    void giveUp();
    void fail(const RunFailure &failure);
    void dropStream();

    event_base *m_base;
    StreamCanceller &m_canceller;
    net::Address m_address;
    net::HttpTimeouts m_timeouts;
    base::Duration m_check;
    std::string m_knownIncarnation;
    EngineRunHandlers m_handlers;
    upstream::EngineResumePoint m_point;
    int m_breaks = 0;
    int m_breaksSincePiece = 0;
    bool m_paused = false;
    bool m_finished = false;
    int m_probes = 0;
    net::Timer m_resumeTimer;
    net::Timer m_probeTimer;
    net::Timer m_checkTimer;
    std::unique_ptr<upstream::EngineStream> m_stream;
    std::unique_ptr<net::HttpCall> m_probe;
    std::unique_ptr<net::HttpCall> m_engineCheck;
    /// Guards callbacks of the canceller, which outlives the run.
    std::shared_ptr<EngineRun *> m_self;
};

} // namespace ibisfork::serving
