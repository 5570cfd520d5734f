#include "gateway/exchange.h"

#include <algorithm>

#include "gateway/enginepause.h"
#include "gateway/exchangelimits.h"

namespace ibisfork::gateway {

namespace {

/// The first byte is late after this multiple of the usual time plus minFirstByteBound.
constexpr double firstByteFactor = 5;
constexpr std::chrono::milliseconds minFirstByteBound{500};
/// Prompt tokens that a busy engine processes per millisecond.
constexpr std::uint32_t slowTokensPerMs = 15;
/// An idempotent request counts as stalled after its route's objective times idempotentBoundFactor, and at least this
/// long.
constexpr std::chrono::milliseconds minIdempotentBound{250};
constexpr double idempotentBoundFactor = 1.5;

} // namespace

base::Duration Exchange::silenceBound() const
{
    if (m_phase == Phase::Connecting) {
        return connectTime;
    }
    return m_peer ? peerSilenceBound(engineSilenceBound()) : engineSilenceBound();
}

base::Duration Exchange::engineSilenceBound() const
{
    if (m_phase == Phase::Reading) {
        return repeatable() ? base::Duration(m_route->pauseObjective) : base::Duration::max();
    }
    if (m_route->repeatability != Repeatability::Stream) {
        const auto bound = std::chrono::duration<double>(m_route->objective) * idempotentBoundFactor;
        return std::max<base::Duration>(std::chrono::duration_cast<base::Duration>(bound), minIdempotentBound);
    }
    const auto usual = std::chrono::duration<double>(m_context.firstByteTime(m_route->name).value());
    const auto bound = std::chrono::duration_cast<base::Duration>(usual * firstByteFactor);
    const auto reading = std::chrono::milliseconds(m_call.promptTokens / slowTokensPerMs);
    return std::min<base::Duration>(bound + minFirstByteBound + reading, m_route->objective + reading);
}

void Exchange::arm()
{
    const auto now = base::monotonicNow();
    m_lateBytes.reset();
    auto next = m_deadline;
    if (m_phase == Phase::Waiting) {
        next = std::min(next, m_retryAt);
    } else {
        const auto bound = silenceBound();
        if (bound != base::Duration::max()) {
            next = std::min(next, m_lastProgress + bound);
        }
    }
    if (m_paused) {
        next = std::min<base::TimePoint>(next, now + pausedCheckInterval);
    }
    m_timer.startOnce(std::max<base::Duration>(next - now, std::chrono::milliseconds(1)));
}

bool Exchange::mayRunElsewhere()
{
    const auto engines = m_context.view.usableEngines(m_service, m_preference);
    const bool otherEngine = std::any_of(engines.begin(), engines.end(), [this](const Engine *engine) {
        return std::find(m_tried.begin(), m_tried.end(), engine->entry.id) == m_tried.end();
    });
    return otherEngine || mayForward();
}

bool Exchange::hasLateBytes(base::TimePoint now)
{
    return m_connection && !m_paused && m_lateBytes.mayAwait(*m_connection, now);
}

void Exchange::onTimer()
{
    const auto now = base::monotonicNow();
    if (hasLateBytes(now)) {
        m_timer.startOnce(http::LateBytes::checkInterval);
        return;
    }
    if (m_phase == Phase::Connecting && m_connection->connected()) {
        m_phase = Phase::AwaitingHead;
    }
    if (now >= m_deadline) {
        endHedge(RunEnd::TimedOut);
        m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->sent());
        endRun(RunEnd::TimedOut);
        cancelAttempt();
        failRequest("timeout");
        return;
    }
    if (m_awaitsConfiguration) {
        begin();
        return;
    }
    if (m_phase == Phase::Waiting) {
        if (m_waitsForEngine) {
            endWait();
        } else if (m_queueId.empty()) {
            dispatch();
        } else {
            arm();
        }
        return;
    }
    if (m_paused) {
        onPausedTimer(now);
        return;
    }
    const auto bound = silenceBound();
    const bool silent = bound != base::Duration::max() && now - m_lastProgress >= bound;
    if (!silent) {
        arm();
        return;
    }
    if (m_phase == Phase::Connecting) {
        handleFailedAttempt({EngineFault::Unreachable, false, "connect_timeout"});
    } else {
        onSilence();
    }
}

} // namespace ibisfork::gateway
