#include "gateway/exchange.h"

#include <algorithm>

#include <fmt/format.h>

#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"
#include "gateway/hedge.h"
#include "http/status.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

void Exchange::onHead(const http::ResponseHead &head)
{
    const auto now = base::monotonicNow();
    m_phase = Phase::Reading;
    m_lastProgress = now;
    m_move.reset();
    m_answerHead = head;
    m_answer = platform::decodeAnswer(head);
    if (m_peer) {
        onPeerHead();
        return;
    }
    m_context.recordEngineAnswered(m_service, m_engineId, m_connection->connectedAt());
    recordLoad(now);
    recordLeaving();
    recordRest();
    recordStartLimit();
    recordRefusalLimit();
    if (!headIsUsable()) {
        handleFailedAttempt({EngineFault::Failed, true, "foreign_answer"});
        return;
    }
    if (m_answer.notRun) {
        return;
    }
    m_firstByteAfter = now - m_sentAt;
    m_context.view.engines().recordAnswered(m_engineId, m_sentAt);
    recordLatency(now);
    promptRead();
    if (!http::status::isServerError(m_answer.status)) {
        m_context.view.rollouts().recordFirstByte(m_service, m_runId, now);
    }
    m_context.firstByteTime(m_route->name).add(base::toSeconds(*m_firstByteAfter));
    const auto objective = std::max<base::Duration>(m_route->objective, std::chrono::milliseconds(1));
    m_context.latencyRatio(m_route->name).add(base::toSeconds(*m_firstByteAfter) / base::toSeconds(objective));
    if (wantsSecondRun()) {
        beginSecondRun();
    }
    if (m_phase == Phase::Reading) {
        expectAnswer();
    }
}

void Exchange::beginSecondRun()
{
    const auto now = base::monotonicNow();
    const auto tried = m_tried;
    // The current engine may be chosen again: the prompt is in its cache, and it may run the larger model as well.
    m_tried.pop_back();
    const auto placement = place(now);
    if (placement.engine == nullptr || !m_context.resends.consume(m_service, m_context.view.nodes(), now)) {
        // No engine or no resend budget: forward the low-confidence response rather than none.
        m_tried = tried;
        return;
    }
    EventLog::routine("second_run")
        .field("id", m_call.id)
        .field("model", m_model)
        .field("confidence", m_answer.confidence.value_or(-1));
    m_model = m_context.models.larger(m_route->models);
    m_mayHaveRun = true;
    cancelAttempt();
    send(*placement.engine, placement.details);
}

void Exchange::recordLoad(base::TimePoint now)
{
    if (m_answer.hasUnreadableLoad) {
        m_context.metrics.counter("ibisfork_unreadable_loads_total", {{"service", m_service}}).add();
        EventLog::failure("unreadable_load").field("engine", m_engineId).field("id", m_call.id);
    }
    if (!m_answer.load) {
        return;
    }
    const auto &load = *m_answer.load;
    m_context.view.engines().recordLoad(m_engineId, load, now);
    if (m_context.shareReport) {
        m_context.shareReport(
            {m_engineId, m_engineEntry.startTimeMs, load.running, load.waiting, load.slots, load.slowdown, now});
    }
}

void Exchange::recordLatency(base::TimePoint now)
{
    // Later attempts may be at another model, and failures come sooner than answers.
    if (m_sends != 1 || !http::status::isSuccess(m_answer.status)) {
        return;
    }
    const auto &details = m_placementDetails;
    const auto expected = m_context.view.engines().recordFirstByte(
        m_engineId, details.tokensToRead, details.state, *m_firstByteAfter, now);
    if (expected) {
        const double ratio = base::toSeconds(*expected) / std::max(base::toSeconds(*m_firstByteAfter), 1e-4);
        m_context.metrics.histogram("ibisfork_first_byte_expected_ratio", {{"service", m_service}}).observe(ratio);
    }
}

void Exchange::recordLeaving()
{
    if (headIsForeign() || !m_answer.isLeaving) {
        return;
    }
    m_context.recordEngineLeaving(m_service, m_engineEntry.process(), m_call.id);
}

void Exchange::recordRest()
{
    if (headIsForeign()) {
        return;
    }
    m_context.recordEngineRest(m_service, m_engineEntry.process(), m_answer, m_call.id);
}

void Exchange::recordStartLimit()
{
    // An unreadable limit is still a limit: the last one read stays in force.
    if (headIsForeign() || m_answer.hasUnreadableLimit) {
        return;
    }
    if (m_context.view.engines().recordStartLimit(m_engineId, m_answer.startLimit)) {
        EventLog::state("engine_limit")
            .field("engine", m_engineId)
            .field("per_second", m_answer.startLimit ? fmt::format("{}", *m_answer.startLimit) : "none")
            .field("id", m_call.id);
    }
}

void Exchange::recordRefusalLimit()
{
    // An unreadable limit is still a limit: the last one read stays in force.
    if (headIsForeign() || m_answer.hasUnreadableRefusalLimit) {
        return;
    }
    auto &engines = m_context.view.engines();
    if (engines.recordRefusalLimit(m_engineId, m_answer.refusalLimit)) {
        EventLog::state("engine_brittle")
            .field("engine", m_engineId)
            .field("refusals_per_second", m_answer.refusalLimit ? fmt::format("{}", *m_answer.refusalLimit) : "none")
            .field("id", m_call.id);
    }
    if (m_answer.notRun && m_answer.status == http::status::unavailable) {
        engines.recordRefusal(m_engineId, m_context.view.nodes(), base::monotonicNow());
    }
}

bool Exchange::headIsForeign() const
{
    return m_answer.isForeignTo(m_call.id);
}

bool Exchange::headIsUsable() const
{
    const bool success = http::status::isSuccess(m_answer.status);
    return !headIsForeign() && (!success || m_answer.isSigned);
}

bool Exchange::wantsSecondRun() const
{
    // A route without models leaves the choice to the engine, whatever the caller asks for.
    const bool hasChosen = !m_model.empty();
    if (m_streamBegun || !hasChosen || !m_answer.confidence || m_runs >= maxRuns() || !mayRunAgain(true)) {
        return false;
    }
    const auto pressure = m_context.latencyRatio(m_route->name).value();
    return m_context.models.worthSecondRun(m_route->models, m_model, *m_answer.confidence, pressure);
}

void Exchange::onBody(std::string_view bytes)
{
    if (!m_answer.isStream()) {
        recordProgress();
        holdBack(bytes);
        return;
    }
    const bool fits = m_splitter.feed(bytes, [this](const StreamEvent &event) { forwardEvent(event); });
    if (!fits || !m_eventHeld.resize(m_splitter.buffered())) {
        handleFailedAttempt({EngineFault::Failed, true, "event_too_long"});
        return;
    }
    pauseIfBehind();
}

void Exchange::expectAnswer()
{
    if (m_answer.isStream() || m_request.head.method == "HEAD") {
        return;
    }
    m_answerLength = http::contentLength(m_answerHead.headers);
    if (m_answerLength && !m_answerBody.reserve(*m_answerLength)) {
        beginToPassOn();
    }
}

void Exchange::holdBack(std::string_view bytes)
{
    if (m_answer.notRun && !m_peer) {
        // Another engine is tried; this body goes to nobody.
        return;
    }
    if (!m_passesOn && m_answerBody.tryAppend(bytes)) {
        return;
    }
    if (!m_passesOn) {
        beginToPassOn();
    }
    if (m_passesOn) {
        m_caller.sendPiece(bytes);
        pauseIfBehind();
    }
}

void Exchange::beginToPassOn()
{
    m_context.metrics.counter("ibisfork_memory_refusals_total", {{"reason", "answer"}}).add();
    EventLog::failure("answer_not_held")
        .field("id", m_call.id)
        .field("status", m_answer.status)
        .field("length", m_answerLength.value_or(0))
        .field("held_bytes", m_context.memory->held());
    const bool failed = http::status::isServerError(m_answer.status);
    if (m_streamBegun || (m_peer && !m_answer.isSigned)) {
        handleFailedAttempt({EngineFault::Failed, true, "answer_too_long"});
        return;
    }
    if (failed && consumeResend(true)) {
        handleFailedAttempt({EngineFault::Failed, true, "engine_failed"});
        return;
    }
    endHedge(RunEnd::Withdrawn);
    m_passesOn = true;
    m_streamBegun = true;
    m_caller.beginStream(m_answer.status, headersToPassOn(), m_context.stopping, m_answerLength);
    m_caller.sendHeldPiece(m_answerBody.take());
}

void Exchange::completePassedOn()
{
    const bool failed = http::status::isServerError(m_answer.status);
    if (m_peer) {
        leavePeer("answered");
    } else {
        recordWholeAnswer();
        releaseConnection();
    }
    m_caller.endStream();
    finish(failed ? "engine_failed" : "answered", m_answer.status);
}

void Exchange::recordProgress()
{
    m_lastProgress = base::monotonicNow();
    m_move.reset();
}

void Exchange::recordEventTime()
{
    const auto now = base::monotonicNow();
    if (!m_runBeganAt) {
        m_runBeganAt = now;
    } else if (now - *m_runBeganAt >= soundRunTime) {
        recordSoundParts();
    }
}

void Exchange::forwardEvent(const StreamEvent &event)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    // Bytes of an event that never ends are no progress: the caller gets whole events.
    recordProgress();
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_caller.beginStream(m_answer.status, headersToPassOn(), m_context.stopping);
    }
    recordEventTime();
    if (event.id) {
        m_lastEvent = event.id;
    }
    m_caller.sendPiece(event.bytes);
}

void Exchange::onComplete()
{
    if (m_passesOn) {
        completePassedOn();
        return;
    }
    if (m_peer && !(m_answer.isStream() && m_splitter.midEvent())) {
        onPeerComplete();
        return;
    }
    if (m_answer.notRun) {
        handleFailedAttempt({EngineFault::Full, false, "engine_refused"});
        return;
    }
    if (m_answer.isStream()) {
        completeStream();
    } else {
        completeBuffered();
    }
}

void Exchange::completeStream()
{
    if (m_splitter.midEvent()) {
        handleFailedAttempt({EngineFault::Failed, true, "stream_ended_mid_event", true, wasLeftUnread()});
        return;
    }
    if (!m_runBeganAt && m_connection->answerEndedWithConnection()) {
        // Nothing but the end of the connection says that the stream is complete, and it holds nothing.
        handleFailedAttempt({EngineFault::Lost, true, "stream_without_events", true});
        return;
    }
    m_context.view.engines().recordSuccess(m_engineId);
    recordSoundRun();
    endRun(RunEnd::Answered);
    m_isRunWhole = true;
    releaseConnection();
    endStreamOfCaller();
}

http::HeaderList Exchange::headersToPassOn() const
{
    auto headers = withoutForwardHeaders(platform::answerHeaders(m_answerHead));
    if (m_origin == RequestOrigin::Peer && m_answer.isLeaving) {
        addLeavingEngine(headers, m_engineEntry.process());
    }
    tellRunsUsed(headers);
    return headers;
}

void Exchange::endStreamOfCaller()
{
    if (!m_streamBegun) {
        m_caller.beginStream(m_answer.status, headersToPassOn(), m_context.stopping);
    }
    m_caller.endStream();
    finish("answered", m_answer.status);
}

void Exchange::completeBuffered()
{
    const bool failed = http::status::isServerError(m_answer.status);
    if (m_streamBegun) {
        endRun(failed ? RunEnd::Failed : RunEnd::Answered);
        // The rest of the stream is missing; no other answer may follow its beginning.
        handleFailedAttempt({EngineFault::Failed, true, failed ? "engine_failed" : "no_stream"});
        return;
    }
    // While its copy goes on, another answer may still come.
    if (failed && (m_hedge || consumeResend(true))) {
        endRun(RunEnd::Failed);
        handleFailedAttempt({EngineFault::Failed, true, "engine_failed"});
        return;
    }
    recordWholeAnswer();
    releaseConnection();
    m_caller.sendHeldAnswer(m_answer.status, headersToPassOn(), m_answerBody.take(), m_context.stopping);
    finish(failed ? "engine_failed" : "answered", m_answer.status);
}

void Exchange::recordWholeAnswer()
{
    const bool failed = http::status::isServerError(m_answer.status);
    m_isRunWhole = true;
    endRun(failed ? RunEnd::Failed : RunEnd::Answered);
    if (failed) {
        m_context.view.engines().recordFault(m_engineId, EngineFault::Failed, coldPeriod(), base::monotonicNow());
    } else {
        m_context.view.engines().recordSuccess(m_engineId);
        recordSoundRun();
        recordWholeAnswerTime();
    }
}

void Exchange::recordWholeAnswerTime()
{
    if (!m_context.hedges.bound().allowsAny() || m_route->repeatability != Repeatability::Idempotent) {
        return;
    }
    const auto took = base::monotonicNow() - m_sentAt;
    m_context.wholeAnswerTimes[m_route->name].record(took);
    m_context.hedges.recordRun(m_service, took);
}

} // namespace ibisfork::gateway
