#include <utility>

#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/exchangelimits.h"
#include "gateway/hedge.h"
#include "hedging/hedgedecision.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

/// The time after which a request of @p route counts as slow at its first engine, if that is known.
std::optional<base::Duration> slowAfter(Context &context,
                                        const std::string &service,
                                        const Route &route,
                                        std::uint32_t promptTokens)
{
    const auto *model = context.view.engines().latencyOf(service);
    const auto expected = model == nullptr ? std::nullopt : std::optional(model->firstByte(promptTokens, {}));
    return hedging::slowAfter(context.wholeAnswerTimes[route.name].quantile(hedging::slowShare), expected);
}

} // namespace

// Only whole answers are hedged: of a stream the first event would have to wait for the second engine to begin, and
// both engines would read the prompt. Requests that may run once are never sent twice.
bool Exchange::mayHedge() const
{
    const bool isKind = m_route->repeatability == Repeatability::Idempotent && m_route->models.empty();
    const bool isFirstAttempt = m_sends == 1 && !m_peer && m_origin == RequestOrigin::Caller;
    return isKind && isFirstAttempt && m_context.hedges.bound().allowsAny() && !m_context.stopping && m_cutOffs == 0
        && m_runs < maxRuns() && mayRunAgain(true);
}

void Exchange::awaitHedge()
{
    if (!mayHedge()) {
        return;
    }
    m_context.hedges.recordRequest(m_service);
    if (const auto usual = slowAfter(m_context, m_service, *m_route, m_call.promptTokens)) {
        m_hedgeTimer.startOnce(*usual);
    }
}

void Exchange::onHedgeTimer()
{
    const auto *queue = m_context.queueOf(m_service);
    if (queue != nullptr && queue->queue().size() > 0) {
        // Requests that wait go before copies.
        return;
    }
    const bool isUnanswered = m_phase == Phase::Connecting || m_phase == Phase::AwaitingHead;
    const auto now = base::monotonicNow();
    const auto usual = slowAfter(m_context, m_service, *m_route, m_call.promptTokens);
    if (!isUnanswered || m_hedge || !usual || !mayHedge() || isPoison() || m_deadline - now < minAttemptTime) {
        return;
    }
    const auto placement = place(now);
    const auto *engine = placement.engine;
    const bool isLimited = engine != nullptr && (engine->startLimit || engine->refusalLimit || engine->isCold(now));
    if (engine == nullptr || isLimited) {
        return;
    }
    const hedging::HedgeQuestion question{
        *usual, m_deadline - now, placement.details.state, placement.details.expectedFirstByte};
    if (!hedging::isCopyWorthwhile(question) || !m_context.hedges.take(m_service, *usual)
        || !m_context.resends.consume(m_service, m_context.view.nodes(), now)) {
        return;
    }
    sendHedge(*engine, placement.details);
}

void Exchange::sendHedge(const Engine &engine, const PlacementDetails &details)
{
    const auto now = base::monotonicNow();
    EventLog::routine("hedge")
        .field("id", m_call.id)
        .field("engine", m_engineId)
        .field("second", engine.entry.id)
        .field("after_ms", base::toMilliseconds(now - m_sentAt))
        .field("expected_load", details.state.requests)
        .field("pace", details.state.pace);
    m_context.metrics.counter("ibisfork_hedges_total", {{"service", m_service}, {"outcome", "sent"}}).add();
    m_tried.push_back(engine.entry.id);
    ++m_runs;
    m_context.view.engines().recordSent(engine.entry.id, 0, now);
    m_hedge = std::make_unique<Hedge>(m_context, engine.entry, details);
    const MonitoredRun run{engine.entry.softwareVersion, engine.entry.id, {m_route->name, {}}, 0, m_route->objective};
    m_hedge->setRun(m_context.view.rollouts().recordSent(m_service, run, now));
    const auto head = platform::encodeDispatch(m_request.head, dispatchTo(engine, now));
    m_hedge->send(m_call.id,
                  http::serializeRequestHead(head, m_request.body.size()),
                  m_request.body,
                  m_request.head.method == "HEAD",
                  {[this] { onHedgeAnswered(); },
                   [this](EngineFault fault, bool mayHaveRun, bool wasCutOff) {
                       onHedgeFailed(fault, mayHaveRun, wasCutOff);
                   }});
}

void Exchange::onHedgeAnswered()
{
    m_context.metrics.counter("ibisfork_hedges_total", {{"service", m_service}, {"outcome", "won"}}).add();
    endRun(RunEnd::Withdrawn);
    cancelAttempt();
    const auto hedge = std::move(m_hedge);
    m_engineId = hedge->engine().id;
    m_engineEntry = hedge->engine();
    m_engineVersion = hedge->engine().softwareVersion;
    m_placementDetails = hedge->details();
    m_answer = hedge->answer();
    m_answerHead = hedge->head();
    m_firstByteAfter = hedge->firstByteAfter();
    m_sentAt = hedge->sentAt();
    m_runId = hedge->run();
    m_runBeganAt.reset();
    m_context.view.rollouts().recordFirstByte(m_service, m_runId, base::monotonicNow());
    m_connection = hedge->takeConnection();
    recordWholeAnswer();
    releaseConnection();
    m_caller.sendHeldAnswer(m_answer.status, headersToPassOn(), hedge->takeBody(), m_context.stopping);
    finish("answered", m_answer.status);
}

void Exchange::onHedgeFailed(EngineFault fault, bool mayHaveRun, bool wasCutOff)
{
    const auto now = base::monotonicNow();
    EventLog::failure("hedge_failed")
        .field("id", m_call.id)
        .field("engine", m_hedge->engine().id)
        .field("status", m_hedge->answer().status)
        .field("may_have_run", mayHaveRun);
    m_context.view.engines().recordFault(m_hedge->engine().id, fault, coldPeriod(), now);
    if (wasCutOff) {
        ++m_cutOffs;
        if (m_context.reportLostRun) {
            m_context.reportLostRun({m_hedge->engine(), traits()});
        }
    }
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_runs -= mayHaveRun ? 0 : 1;
    endHedge(fault == EngineFault::Failed ? RunEnd::Failed : RunEnd::Withdrawn);
    if (const auto miss = std::exchange(m_missBeforeHedge, std::nullopt)) {
        dispatchOrFail(*miss);
    }
}

void Exchange::endHedge(RunEnd end)
{
    m_hedgeTimer.stop();
    if (!m_hedge) {
        return;
    }
    const auto hedge = std::move(m_hedge);
    const auto now = base::monotonicNow();
    auto connection = hedge->takeConnection();
    if (!connection->reusable()) {
        m_mayHaveRun = m_mayHaveRun || connection->sent();
        connection->abandon();
    }
    m_context.view.rollouts().recordEnded(m_service, hedge->run(), end, now);
    m_context.view.engines().recordEnded(hedge->engine().id);
    m_context.pool.release(hedge->engine().id, std::move(connection), maxIdleConnections(), now);
}

} // namespace ibisfork::gateway
