#include <ibisfork/coord/retrybudget.h>

#include <algorithm>

#include <ibisfork/coord/exceptions.h>

namespace ibisfork::coord {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
{
    if (share < 0 || burst < 0) {
        throw CoordError("a retry budget's share and burst must not be negative");
    }
}

void RetryBudget::countFirstAttempt(const std::string &workspace)
{
    auto &balance = m_balances.try_emplace(workspace, m_burst).first->second;
    balance = std::min(m_burst, balance + m_share);
}

bool RetryBudget::consume(const std::string &workspace)
{
    auto &balance = m_balances.try_emplace(workspace, m_burst).first->second;
    if (balance < 1.0) {
        return false;
    }
    balance -= 1.0;
    return true;
}

} // namespace ibisfork::coord
