#include "gateway/tokenbucket.h"

#include <algorithm>

namespace ibisfork::gateway {

TokenBucket::TokenBucket(double burst)
    : m_burst(burst)
    , m_left(burst)
{ }

bool TokenBucket::consume(base::TimePoint now, double perSecond)
{
    m_left = std::min(m_burst, m_left + base::toSeconds(now - m_last) * perSecond);
    m_last = now;
    if (m_left < 1) {
        return false;
    }
    m_left -= 1;
    return true;
}

} // namespace ibisfork::gateway
