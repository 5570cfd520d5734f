#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "caller/refusal.h"
#include "ledger/billdraft.h"
#include "net/httpserver.h"
#include "net/timer.h"
#include "serving/backpressure.h"
#include "serving/chatrequest.h"
#include "serving/chatresponsewriter.h"
#include "serving/context.h"
#include "serving/enginerun.h"
#include "serving/session.h"

namespace ibisfork::serving {

/// A chat completion request with the workspace, priority and deadline that apply to it.
struct ExchangeRequest
{
    std::string id;
    std::string workspace;
    ChatRequest chat;
    int priority = 1;
    base::Duration deadline{};
    /// The session of the request, if it has one.
    std::optional<Session> session;
};

/// A low-confidence answer that is kept as the fallback while a better version generates another.
struct FallbackAnswer
{
    std::string version;
    std::string text;
    upstream::EngineUsage usage;
};

/// Handles one chat completion from the parsed request to the last byte of the response: routing, waiting for capacity,
/// retries, escalation to a better version, and billing.
class Exchange
{
public:
    /// @p done is called once, as the last step; the exchange may be destroyed from it.
    Exchange(Context &context,
             ExchangeRequest request,
             std::shared_ptr<net::HttpReply> reply,
             std::function<void()> done);
    ~Exchange();

    void start();

private:
    void dispatch();
    routing::RoutingQuery queryFor(const fleet::Workspace &workspace);
    routing::RoutingDecision choose(const routing::RoutingQuery &query) const;
    void route(const fleet::Workspace &workspace);
    void waitForCapacity(const fleet::Workspace &workspace);
    /// Checks that the session's version may still be used; returns false if the request was refused.
    bool resolveSession(const fleet::Workspace &workspace);
    net::HttpHeaders answerHeaders();
    void send(const routing::RoutingDecision &decision);
    EngineRunHandlers runHandlers();
    void onToken(const std::string &text);
    void onEnd(const upstream::EngineUsage &usage);
    /// Sends the request to a better version if the answer's confidence is too low; returns false if the answer stands.
    bool escalate(const upstream::EngineUsage &usage);
    void keepAsFallback(const upstream::EngineUsage &usage);
    void deliver(const upstream::EngineUsage &usage);
    void onFailed(const RunFailure &failure);
    void retry();
    void abortResponse();
    void onCallerDisconnected();
    void onDeadline();
    void refuse(caller::RefusalCode code, const std::string &message, int retryAfterSeconds);
    void logDecision(const routing::RoutingDecision &decision);
    void record(ledger::BillOutcome outcome, std::function<void()> recorded);
    void countOutcome(const char *outcome);
    /// Runs @p step and turns an exception from it into an error response.
    template<typename Step>
    void guarded(Step step);
    void release();
    void finish();

    Context &m_context;
    ExchangeRequest m_request;
    std::shared_ptr<net::HttpReply> m_reply;
    std::function<void()> m_done;
    ChatResponseWriter m_responseWriter;
    BackPressure m_backPressure;
    net::Timer m_deadline;
    net::Timer m_retryTimer;
    base::TimePoint m_startedAt;
    std::string m_fingerprint;
    base::TimePoint m_sentAt;
    std::string m_upstream;
    std::string m_version;
    std::uint64_t m_receivedTokens = 0;
    std::vector<std::string> m_triedUpstreams;
    std::unique_ptr<EngineRun> m_run;
    /// Versions whose answers had too low a confidence, their total cost, and the last of those answers.
    std::vector<fleet::VersionId> m_lowConfidenceVersions;
    double m_costSoFar = 0.0;
    std::optional<FallbackAnswer> m_fallbackAnswer;
    std::string m_text;
    bool m_waiting = false;
    bool m_firstTokenReceived = false;
    bool m_mayHaveRun = false;
    ledger::BillDraft m_bill;
    /// False once the exchange is destroyed; late callbacks check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace ibisfork::serving
