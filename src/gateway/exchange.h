#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/call.h"
#include "gateway/context.h"
#include "gateway/eventsplitter.h"
#include "http/callerconnection.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// One request of a caller, from its arrival to the end of its answer, with its runs at upstreams.
class Exchange
{
public:
    /// @p done is called once, when nothing is left to do; the exchange must outlive that call.
    Exchange(Context &context, http::CallerConnection &caller, http::Request request, std::function<void()> done);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void begin();
    /// The caller has closed its connection; the run at the upstream is ended at once.
    void callerLeft();
    /// The caller takes bytes again.
    void callerDrained();
    /// Ends the request because the node stops.
    void cutOff();

private:
    enum class Phase {
        Waiting, ///< No run is under way; an engine may take one later.
        Connecting,
        AwaitingHead,
        Reading,
        Finished,
    };

    /// How an attempt at an upstream ended without an answer for the caller.
    struct Miss
    {
        EngineFault fault;
        /// The engine may have run the request.
        bool mayHaveRun = false;
        const char *reason = "";
        /// The resend budget has been charged for going on.
        bool resendTaken = false;
    };

    /// Waits for the first configuration and list of engines, for a short time.
    void awaitFacts();
    bool admit();
    void dispatch();
    Placement place(base::TimePoint now);
    void noEngine(const Placement &placement);
    /// Sends the request to the engine of @p placement, which has one.
    void send(const Placement &placement);
    std::string chooseModel();
    Dispatch dispatchTo(const Engine &engine, base::TimePoint now) const;

    void onHead(const http::ResponseHead &head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(http::ConnectionFailure failure);
    void onTimer();

    bool headIsUsable() const;
    bool answerIsStream() const;
    bool wantsSecondRun() const;
    void beginSecondRun();
    void forwardEvent(const StreamEvent &event);
    void completeStream();
    void completeBuffered();

    void promptRead();
    void releaseConnection();
    /// This node's share of the idle connections that an engine bears.
    std::size_t mostIdleConnections() const;
    /// The request did not take its engine down.
    void noteAnswered();
    /// Closes the connection of the run that is under way, if there is one; the engine drops the request.
    void endRun();
    void noteCrash(base::TimePoint now);
    const std::string &fingerprint();
    void miss(const Miss &miss);
    bool takeResend(bool mayHaveRun);
    bool mayGoOn(bool mayHaveRun) const;
    void giveUp(const char *reason);
    void refuse(int status, const char *reason, std::chrono::milliseconds retryAfter);
    void answerFailure(int status, const char *reason);
    void finish(const char *outcome, int status);

    void arm();
    base::Duration silenceBound() const;
    bool repeatable() const;
    base::Duration coldPeriod() const;

    Context &m_context;
    http::CallerConnection &m_caller;
    http::Request m_request;
    std::function<void()> m_done;
    ConfigurationPtr m_configuration;
    const Route *m_route = nullptr;
    Call m_call;
    std::string m_workspace;
    std::optional<int> m_priority;
    std::string m_service;
    std::string m_subject;
    std::string m_fingerprint;
    VersionPreference m_preference = VersionPreference::Any;

    Phase m_phase = Phase::Waiting;
    base::TimePoint m_start;
    base::TimePoint m_endsAt;
    base::TimePoint m_retryAt;
    net::Timer m_timer;

    std::unique_ptr<http::UpstreamConnection> m_connection;
    std::string m_engineId;
    std::string m_engineVersion;
    PlacementGrounds m_grounds;
    std::string m_model;
    base::TimePoint m_sentAt;
    base::TimePoint m_lastProgress;
    EngineAnswer m_answer;
    http::ResponseHead m_answerHead;
    std::string m_answerBody;
    EventSplitter m_splitter;

    std::vector<std::string> m_tried;
    unsigned m_sends = 0;
    /// Sends that may have run.
    unsigned m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_awaitsFacts = false;
    bool m_streamBegun = false;
    bool m_paused = false;
    bool m_promptWaits = false;
    std::optional<std::uint64_t> m_lastEvent;
    std::optional<base::Duration> m_firstByteAfter;
    const char *m_lastReason = "";
};

} // namespace ibisfork::gateway
