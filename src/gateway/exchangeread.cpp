#include <utility>

#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "net/guard.h"

namespace ibisfork::gateway {

namespace {

/// What a caller may leave untaken however much other callers hold.
constexpr std::size_t usualBacklog = 256UL * 1024;
/// Beyond it, answers are read on while callers, engines and other nodes hold at most one part in this many of the
/// memory.
constexpr std::size_t readOnDivisor = 2;
/// A caller that takes this much between two looks for room is not behind.
constexpr std::size_t progressBytes = 16UL * 1024;
/// An engine may have cut an answer off that has stayed unread for this long; what it has sent before comes first.
constexpr std::chrono::milliseconds unreadTime{500};
constexpr std::chrono::milliseconds unreadEffectTime{1000};

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
    m_pausedAt = now;
    m_behindSince = now;
    m_lastBacklog = m_caller.backlog();
    m_connection->pauseReading(true);
    listAsSlow();
    arm();
}

void Exchange::resumeReading()
{
    const auto now = base::monotonicNow();
    m_paused = false;
    if (now - m_pausedAt >= unreadTime) {
        m_unreadEndedAt = now;
    }
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
}

bool Exchange::wasLeftUnread() const
{
    return m_paused || (m_unreadEndedAt && base::monotonicNow() - *m_unreadEndedAt < unreadEffectTime);
}

void Exchange::listAsSlow()
{
    m_context.slowCallers.add(this, m_behindSince, [this] {
        if (!net::runGuarded("slow caller", [this] { endSlowCaller(); })) {
            abort();
        }
    });
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
        listAsSlow();
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
        .field("behind_ms", base::toMilliseconds(base::monotonicNow() - m_behindSince))
        .field("held_bytes", m_context.memory->held());
    m_context.metrics.counter("ibisfork_slow_callers_ended_total", {{"service", m_service}}).add();
    cancelAttempt();
    failRequest("caller_too_slow");
}

} // namespace ibisfork::gateway
