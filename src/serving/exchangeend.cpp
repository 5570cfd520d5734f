#include "serving/exchange.h"

#include <fmt/format.h>

#include <ibisfork/base/log.h>

#include "net/deletelater.h"

namespace ibisfork::serving {

using base::LogLevel;
using base::LogLine;
using caller::RefusalCode;
using caller::RunState;
using ledger::BillOutcome;

void Exchange::abortResponse()
{
    countOutcome("cut");
    record(BillOutcome::Cut, [] {});
    m_reply->abort();
    finish();
}

void Exchange::onCallerDisconnected()
{
    countOutcome("caller-gone");
    record(BillOutcome::CallerGone, [] {});
    m_reply->abort();
    finish();
}

void Exchange::onDeadline()
{
    if (m_reply->started()) {
        abortResponse();
        return;
    }
    m_mayHaveRun = m_mayHaveRun || m_run != nullptr;
    refuse(RefusalCode::DeadlinePassed, "the deadline passed", 0);
}

void Exchange::refuse(RefusalCode code, const std::string &message, int retryAfter)
{
    if (m_reply->started()) {
        abortResponse();
        return;
    }
    if (m_fallbackAnswer) {
        // A low-confidence answer is better than an error.
        const auto held = *std::exchange(m_fallbackAnswer, std::nullopt);
        release();
        m_version = held.version;
        m_responseWriter.begin(m_version, answerHeaders());
        m_responseWriter.write(held.text);
        deliver(held.usage);
        return;
    }
    const bool mayHaveRun = m_mayHaveRun || m_run != nullptr;
    const auto run = mayHaveRun ? RunState::Unknown : RunState::NotRun;
    LogLine(LogLevel::Info, "refuse")
        .field("request", m_request.id)
        .field("workspace", m_request.workspace)
        .field("code", caller::nameOf(code))
        .field("run", base::nameOf(caller::runStateNames, run));
    countOutcome("refused");
    record(BillOutcome::Refused, [] {});
    net::HttpHeaders headers;
    headers.add("X-Request-Id", m_request.id);
    caller::sendRefusal(*m_reply, {code, run, message, retryAfter}, headers);
    finish();
}

void Exchange::record(BillOutcome outcome, std::function<void()> recorded)
{
    const auto bill = m_bill.close(outcome);
    if (bill) {
        m_context.recordBill(*bill, std::move(recorded));
    } else {
        recorded();
    }
}

void Exchange::countOutcome(const char *outcome)
{
    m_context.metrics.counter("ibisfork_requests_total", {{"outcome", outcome}}).add();
}

void Exchange::release()
{
    m_backPressure.stop();
    if (m_upstream.empty()) {
        return;
    }
    m_context.poison.recordEnd(m_request.id);
    // A generation that may still run occupies its slot until it is known to have stopped, or for the longest run time.
    const auto upstream = std::exchange(m_upstream, {});
    const auto ended = [&context = m_context, upstream, sentAt = m_sentAt](bool) {
        context.limits.recordEnd(upstream);
        context.admission.recordEnd(base::monotonicNow() - sentAt);
    };
    if (!m_run || m_run->finished()) {
        ended(true);
    } else if (m_run->streamId().empty()) {
        m_context.canceller.finishAfter(m_context.settings.timing.longestRun, ended);
    } else {
        const auto cancelled = [&context = m_context, ended](bool stopped) {
            stopped ? ended(true) : context.canceller.finishAfter(context.settings.timing.longestRun, ended);
        };
        m_context.canceller.cancel(m_run->address(), m_run->streamId(), cancelled);
    }
    if (m_run) {
        m_run->stop();
        net::deleteLater(m_context.base, std::move(m_run));
    }
}

void Exchange::finish()
{
    release();
    m_waiting = false;
    m_context.admission.remove(m_request.id);
    m_deadline.stop();
    m_retryTimer.stop();
    // The owner destroys this object in the callback.
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done();
    }
}

} // namespace ibisfork::serving
