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
    auto &left = m_left.try_emplace(workspace, m_burst).first->second;
    left = std::min(m_burst, left + m_share);
}

bool RetryBudget::consume(const std::string &workspace)
{
    auto &left = m_left.try_emplace(workspace, m_burst).first->second;
    if (left < 1.0) {
        return false;
    }
    left -= 1.0;
    return true;
}

} // namespace ibisfork::coord
