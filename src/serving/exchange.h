#pragma once

#include <functional>
#include <memory>
#include <string>

#include "caller/refusal.h"
#include "net/httpserver.h"
#include "net/timer.h"
#include "serving/chatanswer.h"
#include "serving/chatrequest.h"
#include "serving/context.h"
#include "upstream/enginestream.h"

namespace ibisfork::serving {

/// A chat completion from its request to its last byte.
class Exchange
{
public:
    /// @p done is called once, last; the exchange may be destroyed from it.
    Exchange(Context &context,
             std::string requestId,
             std::string workspace,
             ChatRequest request,
             std::shared_ptr<net::HttpReply> reply,
             base::Duration deadline,
             std::function<void()> done);
    ~Exchange();

    void start();

private:
    void dispatch();
    void send(const routing::RoutingDecision &decision);
    void onToken(const std::string &text);
    void onEnd(const upstream::EngineUsage &usage);
    void onFailed(const upstream::EngineFailure &failure);
    void onGone();
    void onDeadline();
    void refuse(caller::RefusalCode code, caller::RunState run, const std::string &message, int retryAfterSeconds);
    void logDecision(const routing::RoutingDecision &decision);
    void release();
    void finish();

    Context &m_context;
    std::string m_requestId;
    std::string m_workspace;
    ChatRequest m_request;
    std::shared_ptr<net::HttpReply> m_reply;
    std::function<void()> m_done;
    ChatAnswer m_answer;
    net::Timer m_deadline;
    base::Duration m_deadlineAfter;
    base::TimePoint m_startedAt;
    std::string m_upstream;
    std::string m_version;
    std::string m_incarnation;
    std::vector<std::string> m_tried;
    std::unique_ptr<upstream::EngineStream> m_stream;
    bool m_answering = false;
    bool m_mayHaveRun = false;
};

} // namespace ibisfork::serving
