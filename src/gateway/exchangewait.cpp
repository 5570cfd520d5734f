#include "gateway/exchange.h"

#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"

namespace ibisfork::gateway {

bool Exchange::mayWaitForEngine() const
{
    const bool answerMayCome = m_streamBegun || m_leftSilent > 0;
    return answerMayCome && mayRetry(true);
}

void Exchange::waitOrFail(const char *reason)
{
    if (!mayWaitForEngine()) {
        failRequest(reason);
        return;
    }
    EventLog::failure("waits_for_engine").field("id", m_call.id).field("reason", reason);
    m_lastReason = reason;
    // All engines may be tried again, also one that was left because it was silent.
    m_tried.clear();
    m_triedPeers.clear();
    m_unreachableEngines = 0;
    m_waitsForEngine = true;
    m_phase = Phase::Waiting;
    m_retryAt = base::monotonicNow() + retryAfterFull;
    arm();
}

void Exchange::endWait()
{
    if (!consumeResend(true)) {
        waitOrFail(m_lastReason);
        return;
    }
    m_waitsForEngine = false;
    dispatch();
}

} // namespace ibisfork::gateway
