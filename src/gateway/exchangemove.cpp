#include "gateway/exchange.h"

#include <algorithm>

#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"

namespace ibisfork::gateway {

namespace {

/// Engines that are asked for room each time that the current one is found silent. All of them may be full or silent
/// too, and each call costs them time.
constexpr std::size_t maxEnginesAsked = 3;

} // namespace

void Exchange::onSilence()
{
    // While the node is cut off, engines can't be asked, and another node may reach them.
    if (m_streamBegun && !m_peer && takesReservations() && !mayForward()) {
        // A silent engine may go on. Its stream is left only for an engine that has promised to take it.
        keepWaiting();
        beginMove();
    } else if (mayRunElsewhere() && consumeResend(true)) {
        handleFailedAttempt({EngineFault::Silent, true, "engine_silent"});
    } else {
        // No other engine may be tried, so keep waiting: the current one may still answer.
        if (!m_peer && m_phase == Phase::AwaitingHead) {
            m_context.recordEngineSilent(m_service, m_engineId);
        }
        keepWaiting();
    }
}

void Exchange::keepWaiting()
{
    m_lastProgress = base::monotonicNow();
    arm();
}

bool Exchange::takesReservations() const
{
    const auto *service = m_configuration->findService(m_service);
    return service != nullptr && service->maxReservation.count() > 0;
}

void Exchange::beginMove()
{
    if (m_move || !mayRetry(true) || isPoison()) {
        return;
    }
    m_move = std::make_shared<Move>();
    reserveAtNextEngine();
}

void Exchange::reserveAtNextEngine()
{
    if (m_move->asked.size() >= maxEnginesAsked) {
        m_move.reset();
        return;
    }
    preferVersionForRetry();
    auto unwanted = m_tried;
    unwanted.insert(unwanted.end(), m_move->asked.begin(), m_move->asked.end());
    const auto placement = place(base::monotonicNow(), unwanted);
    if (placement.engine == nullptr) {
        m_move.reset();
        return;
    }
    const auto &engine = placement.engine->entry;
    m_move->asked.push_back(engine.id);
    m_move->details = placement.details;
    m_context.reserver.reserve(
        engine,
        m_call.promptTokens + m_call.maxOutputTokens,
        m_configuration->findService(m_service)->maxReservation,
        [this, move = std::weak_ptr(m_move), process = engine.process()](const EngineReserver::Reply &reply) {
            // The exchange may have ended, or its engine may have gone on.
            if (!move.expired()) {
                onReservationReply(process, reply);
            }
        });
}

void Exchange::onReservationReply(const EngineProcess &process, const EngineReserver::Reply &reply)
{
    EventLog::failure("reservation")
        .field("id", m_call.id)
        .field("engine", process.id)
        .field("silent_engine", m_engineId)
        .field("answered", reply.isAnswered)
        .field("granted", !reply.reservation.empty());
    if (reply.isAnswered) {
        m_context.recordEngineAnswered(m_service, process.id);
    } else {
        m_context.recordEngineSilent(m_service, process.id);
    }
    if (reply.answer.isLeaving) {
        m_context.recordEngineLeaving(m_service, process, m_call.id);
    }
    m_context.recordEngineRest(m_service, process, reply.answer, m_call.id);
    auto *engine = reply.reservation.empty() ? nullptr : findUsable(process);
    if (engine == nullptr) {
        reserveAtNextEngine();
        return;
    }
    const auto move = std::exchange(m_move, nullptr);
    if (!consumeResend(true)) {
        return;
    }
    endFailedAttempt({EngineFault::Silent, true, "engine_silent"});
    m_reservation = reply.reservation;
    send(*engine, move->details);
}

Engine *Exchange::findUsable(const EngineProcess &process)
{
    const auto engines = m_context.view.usableEngines(m_service, m_preference);
    const auto found = std::find_if(engines.begin(), engines.end(), [&](const Engine *engine) {
        return engine->entry.id == process.id && engine->entry.startTimeMs == process.startTimeMs;
    });
    const bool isUsable = found != engines.end() && !(*found)->isResting(base::monotonicNow());
    return isUsable ? *found : nullptr;
}

} // namespace ibisfork::gateway
