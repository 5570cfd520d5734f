#include "gateway/slowcallers.h"

#include <algorithm>
#include <utility>

namespace ibisfork::gateway {

void SlowCallers::add(const void *id, base::TimePoint since, std::function<void()> end)
{
    m_callers[id] = {since, std::move(end)};
}

void SlowCallers::remove(const void *id)
{
    m_callers.erase(id);
}

void SlowCallers::endSlowest(base::TimePoint now)
{
    const auto slowest = std::min_element(m_callers.begin(), m_callers.end(), [](const auto &left, const auto &right) {
        return left.second.since < right.second.since;
    });
    const bool isDue = slowest != m_callers.end() && now - slowest->second.since >= patience;
    if (!isDue || now - m_endedAt < endInterval) {
        return;
    }
    m_endedAt = now;
    const auto caller = m_callers.extract(slowest);
    caller.mapped().end();
}

} // namespace ibisfork::gateway
