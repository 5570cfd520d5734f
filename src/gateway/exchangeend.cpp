#include "gateway/exchange.h"

#include <cmath>

#include <fmt/format.h>

#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"
#include "http/status.h"

namespace ibisfork::gateway {

namespace {

std::string secondsText(std::chrono::milliseconds duration)
{
    constexpr double millisecondsPerSecond = 1000.0;
    constexpr double hundredths = 100.0;
    const double seconds = static_cast<double>(duration.count()) / millisecondsPerSecond;
    // Rounded up, so that nobody comes back too early.
    return fmt::format("{:.2f}", std::ceil(seconds * hundredths) / hundredths);
}

/// What an attempt that failed with @p fault says about the engine's version: a lost connection or a full engine is
/// the fault of one engine.
RunEnd runEndOf(EngineFault fault)
{
    switch (fault) {
    case EngineFault::Failed:
        return RunEnd::Failed;
    case EngineFault::Silent:
        return RunEnd::TimedOut;
    case EngineFault::Unreachable:
    case EngineFault::Lost:
    case EngineFault::Full:
        return RunEnd::Withdrawn;
    }
    return RunEnd::Withdrawn;
}

} // namespace

void Exchange::onFailure(http::ConnectionFailure failure)
{
    switch (failure) {
    case http::ConnectionFailure::Connect:
        handleFailedAttempt({EngineFault::Unreachable, false, "no_connection"});
        return;
    case http::ConnectionFailure::NoSocket:
        onNoSocket();
        return;
    case http::ConnectionFailure::Lost:
        handleFailedAttempt(
            {EngineFault::Lost, !m_answer.notRun, "connection_lost", !m_answer.notRun, wasLeftUnread()});
        return;
    case http::ConnectionFailure::Malformed:
        handleFailedAttempt({EngineFault::Failed, !m_answer.notRun, "malformed_answer"});
        return;
    }
}

void Exchange::onNoSocket()
{
    EventLog::failure("no_socket").field("id", m_call.id).field("engine", m_engineId);
    m_resendCharge.carryOver();
    m_phase = Phase::Waiting;
    if (m_peer) {
        settlePeerRuns(0);
    } else {
        --m_runs;
    }
    m_connection->abandon();
    releaseConnection();
    // Another engine would need a socket too.
    waitOrFail("no_socket");
}

std::string Exchange::sharedPartsText() const
{
    std::string text;
    for (std::size_t i = 0; i + 1 < m_call.promptParts.size(); ++i) {
        text += (text.empty() ? "" : ",") + m_call.promptParts[i].id;
    }
    return text.empty() ? "-" : text;
}

void Exchange::handleFailedAttempt(const FailedAttempt &miss)
{
    if (m_peer) {
        handleFailedPeer(miss);
        return;
    }
    endFailedAttempt(miss);
    if (m_hedge) {
        // The copy may still be answered.
        m_missBeforeHedge = miss;
        m_retryAt = m_deadline;
        arm();
        return;
    }
    dispatchOrFail(miss);
}

void Exchange::dispatchOrFail(const FailedAttempt &miss)
{
    if (m_passesOn) {
        failRequest(miss.reason);
    } else if (consumeResend(miss.mayHaveRun)) {
        dispatch();
    } else {
        waitOrFail(miss.reason);
    }
}

void Exchange::endFailedAttempt(const FailedAttempt &miss)
{
    const auto now = base::monotonicNow();
    EventLog::failure("attempt_failed")
        .field("id", m_call.id)
        .field("engine", m_engineId)
        .field("reason", miss.reason)
        .field("may_have_run", miss.mayHaveRun)
        .field("status", m_answer.status)
        .field("after_ms", base::toMilliseconds(now - m_sentAt))
        .field("last_event", m_lastEvent.value_or(0))
        .field("began", m_runBeganAt.has_value())
        .field("left_unread", miss.wasLeftUnread)
        .field("parts", sharedPartsText());
    if (m_connection && !m_connection->reusable()) {
        m_connection->abandon();
    }
    m_phase = Phase::Waiting;
    endRun(runEndOf(miss.fault));
    if (!miss.wasLeftUnread) {
        m_context.view.engines().recordFault(m_engineId, miss.fault, coldPeriod(), now);
    }
    m_lastReason = miss.reason;
    if (miss.fault == EngineFault::Unreachable) {
        // Nothing has arrived at an engine, so the charge still holds.
        m_resendCharge.carryOver();
        ++m_unreachableEngines;
        m_context.recordEngineUnreachable(m_service, m_engineId);
    }
    if (miss.fault == EngineFault::Silent) {
        ++m_unreachableEngines;
        ++m_leftSilent;
        m_context.recordEngineSilent(m_service, m_engineId);
        m_context.metrics.counter("ibisfork_silent_engines_left_total", {{"service", m_service}}).add();
    }
    if (miss.wasCutOff && !miss.wasLeftUnread) {
        recordCutOff();
    }
    m_mayHaveRun = m_mayHaveRun || miss.mayHaveRun;
    if (!miss.mayHaveRun) {
        --m_runs;
    }
    m_firstByteAfter.reset();
    // What is held of a failed answer goes to nobody.
    m_answerBody.reset();
    m_eventHeld.resize(0);
    releaseConnection();
}

bool Exchange::consumeResend(bool mayHaveRun)
{
    if (!mayRetry(mayHaveRun)) {
        return false;
    }
    return m_resendCharge.chargeNext(m_context.resends, m_service, m_context.view.nodes(), base::monotonicNow());
}

bool Exchange::mayRetry(bool mayHaveRun) const
{
    if (m_passesOn || !mayRunAgain(mayHaveRun)) {
        return false;
    }
    const bool runsLeft = m_runs < maxRuns() && !maySuspectItself();
    return runsLeft && m_deadline - base::monotonicNow() > minAttemptTime;
}

void Exchange::failRequest(const char *reason)
{
    if (m_streamBegun) {
        m_context.metrics.counter("ibisfork_answers_broken_off_total", {{"reason", reason}}).add();
        m_caller.abort();
        finish(reason, 0);
        return;
    }
    if (m_mayHaveRun) {
        const bool late = base::monotonicNow() >= m_deadline - minAttemptTime;
        answerFailure(late ? http::status::gatewayTimeout : http::status::badGateway, reason);
        return;
    }
    const auto retryAfter = m_tried.empty() ? retryAfterNoEngine : retryAfterFull;
    if (m_context.reach.isCutOff(m_service)) {
        refuseNotRun(reason, retryAfter, RefusalScope::Service);
    } else if (m_unreachableEngines > 0) {
        refuseNotRun(reason, retryAfter, RefusalScope::Request);
    } else {
        refuse(http::status::unavailable, reason, retryAfter);
    }
}

void Exchange::refuseNotRun(const char *reason, std::chrono::milliseconds retryAfter, RefusalScope scope)
{
    if (m_origin == RequestOrigin::Peer) {
        refuseForwarded(reason, scope);
    } else {
        refuse(http::status::unavailable, reason, retryAfter);
    }
}

void Exchange::refuse(int status, const char *reason, std::chrono::milliseconds retryAfter)
{
    http::HeaderList headers;
    headers.add("Retry-After", secondsText(retryAfter));
    tellRunsUsed(headers);
    m_caller.sendAnswer(status, headers, {}, m_context.stopping);
    finish(reason, status);
}

void Exchange::answerFailure(int status, const char *reason)
{
    http::HeaderList headers;
    tellRunsUsed(headers);
    m_caller.sendAnswer(status, headers, {}, m_context.stopping);
    finish(reason, status);
}

void Exchange::tellRunsUsed(http::HeaderList &headers) const
{
    if (m_origin == RequestOrigin::Peer) {
        addRunsUsed(headers, m_runs);
    }
}

void Exchange::onCallerLeft()
{
    m_hasCallerLeft = true;
    endHedge(RunEnd::Withdrawn);
    m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->sent());
    cancelAttempt();
    if (!m_streamBegun) {
        m_caller.sendAnswer(m_mayHaveRun ? http::status::badGateway : http::status::unavailable, {}, {}, true);
    }
    finish("caller_left", 0);
}

void Exchange::abort()
{
    endHedge(RunEnd::Withdrawn);
    m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->sent());
    cancelAttempt();
    failRequest("node_stops");
}

CallerResult Exchange::resultWith(int status) const
{
    if (m_hasCallerLeft) {
        return CallerResult::CallerLeft;
    }
    if (http::status::isSuccess(status)) {
        return CallerResult::Served;
    }
    if (m_answer.isSigned && m_answer.status == status) {
        return CallerResult::FailedAtEngine;
    }
    const bool isRefused = status == http::status::unavailable || status == http::status::tooManyRequests;
    return isRefused ? CallerResult::Refused : CallerResult::Failed;
}

void Exchange::finish(const char *outcome, int status)
{
    if (m_phase == Phase::Finished) {
        return;
    }
    m_phase = Phase::Finished;
    m_timer.stop();
    leaveQueue();
    endHedge(RunEnd::Withdrawn);
    const auto now = base::monotonicNow();
    const auto took = now - m_start;
    const auto &newest = m_context.view.configuration();
    const auto route = m_route == nullptr ? std::string("-") : m_route->name;
    m_context.metrics.counter("ibisfork_requests_total", {{"route", route}, {"outcome", outcome}}).add();
    m_context.metrics.histogram("ibisfork_request_seconds", {{"route", route}}).observe(base::toSeconds(took));
    if (m_origin == RequestOrigin::Caller && !m_service.empty()) {
        m_context.results.record(m_service, resultWith(status));
    }
    EventLog(http::status::isSuccess(status) ? Importance::Routine : Importance::Failure, "request")
        .field("id", m_call.id)
        .field("session", m_call.session.empty() ? "-" : m_call.session)
        .field("route", route)
        .field("configuration", m_configuration ? m_configuration->version : 0)
        .field("newest_configuration", newest ? newest->version : 0)
        .field("workspace", m_workspace.empty() ? "-" : m_workspace)
        .field("engine", m_engineId.empty() ? "-" : m_engineId)
        .field("peer", m_triedPeers.empty() ? "-" : m_triedPeers.back())
        .field("forwarded", m_origin == RequestOrigin::Peer)
        .field("model", m_model.empty() ? "-" : m_model)
        .field("confidence", m_answer.confidence.value_or(-1))
        .field("sends", m_sends)
        .field("left_silent", m_leftSilent)
        .field("last_event", m_lastEvent.value_or(0))
        .field("candidates", m_placementDetails.candidates)
        .field("expected_load", std::lround(m_placementDetails.state.requests))
        .field("report_ms", m_placementDetails.reportAge ? base::toMilliseconds(*m_placementDetails.reportAge) : -1)
        .field("by_part", m_placementDetails.bySharedPart)
        .field("pace", fmt::format("{:.2f}", m_placementDetails.state.pace))
        .field("expected_ms",
               m_placementDetails.expectedFirstByte ? base::toMilliseconds(*m_placementDetails.expectedFirstByte) : -1)
        .field("first_byte_ms", m_firstByteAfter ? base::toMilliseconds(*m_firstByteAfter) : -1)
        .field("queued_ms", base::toMilliseconds(m_queuedFor))
        .field("took_ms", base::toMilliseconds(took))
        .field("time_left_ms", base::toMilliseconds(m_deadline - now))
        .field("status", status)
        .field("outcome", outcome);
    m_done();
}

} // namespace ibisfork::gateway
