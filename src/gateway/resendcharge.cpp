#include "gateway/resendcharge.h"

#include <utility>

namespace ibisfork::gateway {

bool ResendCharge::chargeNext(ResendBudget &budget, const std::string &service, unsigned nodes, base::TimePoint now)
{
    m_isNextCharged = m_isNextCharged || budget.consume(service, nodes, now);
    return m_isNextCharged;
}

void ResendCharge::beginAttempt()
{
    const bool isFree = std::exchange(m_isFirstFree, false);
    m_isCurrentCharged = std::exchange(m_isNextCharged, false) || isFree;
}

void ResendCharge::carryOver()
{
    m_isNextCharged = m_isCurrentCharged;
}

} // namespace ibisfork::gateway
