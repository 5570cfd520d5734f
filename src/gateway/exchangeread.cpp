#include <utility>

#include "gateway/eventlog.h"
#include "gateway/exchange.h"

namespace ibisfork::gateway {

namespace {

/// What a caller may leave untaken however much other callers hold.
constexpr std::size_t usualBacklog = 256UL * 1024;
/// Beyond it, answers are read on while callers, engines and other nodes hold at most this part of the memory.
constexpr std::size_t readOnDivisor = 2;
/// A caller that takes this much between two looks for room is not behind.
constexpr std::size_t progressBytes = 16UL * 1024;
/// An engine that loses its connection after an answer has stayed unread for this long may have cut it off.
constexpr std::chrono::milliseconds unreadTime{500};

} // namespace

bool Exchange::mayReadOn() const
{
    const bool hasRoom = m_context.memory->held() <= m_context.memory->capacity() / readOnDivisor;
    return m_caller.backlogFits() && (hasRoom || m_caller.backlog() <= usualBacklog);
}

void Exchange::pauseIfBehind()
{
    if (m_paused || m_phase != Phase::Reading || mayReadOn()) {
        return;
    }
    const auto now = base::monotonicNow();
    m_paused = true;
    m_behindSince = m_behindSince.value_or(now);
    m_lastBacklog = m_caller.backlog();
    m_connection->pauseReading(true);
    m_context.slowCallers.add(this, *m_behindSince, [this] { endSlowCaller(); });
    arm();
}

void Exchange::resumeReading()
{
    const auto now = base::monotonicNow();
    m_paused = false;
    m_wasLeftUnread = m_wasLeftUnread || now - *m_behindSince >= unreadTime;
    m_context.slowCallers.remove(this);
    m_lastProgress = now;
    m_connection->pauseReading(false);
    arm();
}

void Exchange::onCallerDrained()
{
    if (m_paused && m_connection) {
        resumeReading();
    }
    m_behindSince.reset();
}

void Exchange::onPausedTimer(base::TimePoint now)
{
    if (mayReadOn()) {
        resumeReading();
        return;
    }
    const auto before = std::exchange(m_lastBacklog, m_caller.backlog());
    if (m_lastBacklog + progressBytes <= before) {
        m_behindSince = now;
        m_context.slowCallers.add(this, now, [this] { endSlowCaller(); });
    }
    m_context.slowCallers.endSlowest(now);
    if (m_phase != Phase::Finished) {
        arm();
    }
}

void Exchange::endSlowCaller()
{
    EventLog::failure("slow_caller_ended")
        .field("id", m_call.id)
        .field("engine", m_engineId)
        .field("untaken", m_caller.backlog())
        .field("behind_ms", base::toMilliseconds(base::monotonicNow() - *m_behindSince))
        .field("held_bytes", m_context.memory->held());
    m_context.metrics.counter("ibisfork_slow_callers_ended_total", {{"service", m_service}}).add();
    cancelAttempt();
    failRequest("caller_too_slow");
}

} // namespace ibisfork::gateway
