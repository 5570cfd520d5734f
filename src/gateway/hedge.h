#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gateway/context.h"
#include "http/bodycollector.h"
#include "http/upstreamconnection.h"

namespace ibisfork::gateway {

/// A second copy of a request that is under way at another engine.
class Hedge
{
public:
    struct Handlers
    {
        /// The copy has got a whole answer.
        std::function<void()> onAnswered;
        /// The copy has ended without an answer of use. @p mayHaveRun: the engine may have executed it.
        std::function<void(EngineFault fault, bool mayHaveRun, bool wasCutOff)> onFailed;
    };

    Hedge(Context &context, const EngineEntry &engine, const PlacementDetails &details);
    Hedge(const Hedge &) = delete;
    Hedge &operator=(const Hedge &) = delete;

    /// Sends the request @p callId. The handlers may destroy the object.
    void send(const std::string &callId,
              const std::string &head,
              const http::Body &body,
              bool isHead,
              Handlers handlers);

    const EngineEntry &engine() const { return m_engine; }
    const PlacementDetails &details() const { return m_details; }
    const EngineAnswer &answer() const { return m_answer; }
    const http::ResponseHead &head() const { return m_head; }
    base::TimePoint sentAt() const { return m_sentAt; }
    base::Duration firstByteAfter() const { return m_firstByteAfter; }
    http::Body takeBody() { return m_body.take(); }
    std::unique_ptr<http::UpstreamConnection> takeConnection() { return std::move(m_connection); }

    /// The copy's run in the rollout of its service.
    void setRun(RunId run) { m_run = run; }
    RunId run() const { return m_run; }

private:
    void onHead(const http::ResponseHead &head);
    void onComplete();
    bool isUsable() const;

    Context &m_context;
    EngineEntry m_engine;
    PlacementDetails m_details;
    std::string m_callId;
    RunId m_run = 0;
    std::unique_ptr<http::UpstreamConnection> m_connection;
    Handlers m_handlers;
    EngineAnswer m_answer;
    http::ResponseHead m_head;
    http::BodyCollector m_body;
    bool m_bodyFits = true;
    base::TimePoint m_sentAt;
    base::Duration m_firstByteAfter{};
};

} // namespace ibisfork::gateway
