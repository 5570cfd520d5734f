#include "gateway/hedge.h"

#include <utility>

#include "http/status.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

Hedge::Hedge(Context &context, const EngineEntry &engine, const PlacementDetails &details)
    : m_context(context)
    , m_engine(engine)
    , m_details(details)
    , m_connection(context.pool.acquire(engine.id, engine.address, false, base::monotonicNow()))
    , m_body(context.memory)
    , m_sentAt(base::monotonicNow())
{ }

void Hedge::send(const std::string &callId,
                 const std::string &head,
                 const http::Body &body,
                 bool isHead,
                 Handlers handlers)
{
    m_callId = callId;
    m_handlers = std::move(handlers);
    http::UpstreamConnection::Handlers own;
    own.onHead = [this](const http::ResponseHead &answerHead) {
        onHead(answerHead);
    };
    own.onBody = [this](std::string_view bytes) {
        m_bodyFits = m_bodyFits && m_body.tryAppend(bytes);
    };
    own.onComplete = [this] {
        onComplete();
    };
    own.onFailure = [this](http::ConnectionFailure failure) {
        const bool reachedEngine
            = failure != http::ConnectionFailure::Connect && failure != http::ConnectionFailure::NoSocket;
        const auto fault = failure == http::ConnectionFailure::Malformed ? EngineFault::Failed
            : reachedEngine                                              ? EngineFault::Lost
                                                                         : EngineFault::Unreachable;
        const bool mayHaveRun = reachedEngine && !m_answer.notRun;
        m_handlers.onFailed(fault, mayHaveRun, mayHaveRun && failure == http::ConnectionFailure::Lost);
    };
    m_connection->send(head, body, isHead, std::move(own));
}

void Hedge::onHead(const http::ResponseHead &head)
{
    const auto now = base::monotonicNow();
    m_head = head;
    m_answer = platform::decodeAnswer(head);
    m_firstByteAfter = now - m_sentAt;
    m_context.recordEngineAnswered(m_engine.service, m_engine.id, m_connection->connectedAt());
    if (m_answer.isForeignTo(m_callId)) {
        return;
    }
    if (m_answer.load) {
        m_context.view.engines().recordLoad(m_engine.id, *m_answer.load, now);
    }
    if (m_answer.isLeaving) {
        m_context.recordEngineLeaving(m_engine.service, m_engine.process(), m_callId);
    }
    m_context.recordEngineRest(m_engine.service, m_engine.process(), m_answer, m_callId);
}

bool Hedge::isUsable() const
{
    return !m_answer.isForeignTo(m_callId) && m_bodyFits && !m_answer.notRun && m_answer.isSigned
        && !m_answer.eventStream && http::status::isSuccess(m_answer.status);
}

void Hedge::onComplete()
{
    if (isUsable()) {
        m_handlers.onAnswered();
    } else if (m_answer.notRun) {
        m_handlers.onFailed(EngineFault::Full, false, false);
    } else {
        m_handlers.onFailed(EngineFault::Failed, true, false);
    }
}

} // namespace ibisfork::gateway
