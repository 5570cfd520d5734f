#include "gateway/lostrows.h"

#include <utility>

namespace ibisfork::gateway {

void LostRows::begin(std::set<std::string> keys, base::TimePoint now)
{
    m_keys = std::move(keys);
    m_until = now + rewriteTime;
}

std::vector<std::string> LostRows::takeExpired(base::TimePoint now)
{
    if (m_keys.empty() || isRecovering(now)) {
        return {};
    }
    std::vector<std::string> expired(m_keys.begin(), m_keys.end());
    m_keys.clear();
    return expired;
}

} // namespace ibisfork::gateway
