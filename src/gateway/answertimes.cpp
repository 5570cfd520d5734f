#include "gateway/answertimes.h"

namespace ibisfork::gateway {

namespace {

/// Engines that have not answered for long are forgotten once this many are known.
constexpr std::size_t maxEngines = 2000;
constexpr std::chrono::seconds longestMemory{30};

} // namespace

void AnswerTimes::record(const std::string &engineId, base::TimePoint now)
{
    const auto [found, isNew] = m_bursts.try_emplace(engineId, Burst{now, now, {}});
    auto &burst = found->second;
    if (!isNew && now - burst.last > burstTime) {
        burst.before = burst.last;
        burst.began = now;
    }
    burst.last = now;
    if (m_bursts.size() > maxEngines) {
        std::erase_if(m_bursts, [&](const auto &item) { return now - item.second.last > longestMemory; });
    }
}

bool AnswerTimes::isSilentSince(const std::string &engineId, base::TimePoint sentAt) const
{
    const auto found = m_bursts.find(engineId);
    return found == m_bursts.end() || found->second.last < sentAt;
}

std::optional<base::TimePoint> AnswerTimes::wentOnAt(const std::string &engineId,
                                                     base::TimePoint sentAt,
                                                     base::TimePoint now) const
{
    const auto found = m_bursts.find(engineId);
    if (found == m_bursts.end()) {
        return std::nullopt;
    }
    const auto &burst = found->second;
    const bool wasSilent = burst.before < sentAt && sentAt < burst.began;
    return wasSilent && now - burst.began <= burstTime ? std::optional(burst.began) : std::nullopt;
}

} // namespace ibisfork::gateway
