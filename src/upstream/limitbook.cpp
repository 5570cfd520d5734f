#include "upstream/limitbook.h"

#include <algorithm>

namespace ibisfork::upstream {

void LimitBook::update(const fleet::Config &config, const std::string &, base::TimePoint now)
{
    m_members = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(config.members.size()));
    std::erase_if(m_entries, [&](const auto &entry) { return !config.upstreams.contains(entry.first); });
    for (const auto &[id, upstream] : config.upstreams) {
        auto [entry, added] = m_entries.try_emplace(id);
        entry->second.limit = upstream.limit;
        if (added) {
            entry->second.coldSince = now;
        }
    }
}

std::uint32_t LimitBook::free(const std::string &upstream, base::TimePoint now) const
{
    const auto entry = m_entries.find(upstream);
    if (entry == m_entries.end()) {
        return 0;
    }
    const auto most = allowed(entry->second, now);
    return most - std::min(most, entry->second.running);
}

std::uint32_t LimitBook::running(const std::string &upstream) const
{
    const auto entry = m_entries.find(upstream);
    return entry == m_entries.end() ? 0 : entry->second.running;
}

void LimitBook::started(const std::string &upstream)
{
    ++m_entries[upstream].running;
}

void LimitBook::ended(const std::string &upstream)
{
    auto &running = m_entries[upstream].running;
    running -= std::min<std::uint32_t>(running, 1);
}

void LimitBook::sawIncarnation(const std::string &upstream, const std::string &incarnation, base::TimePoint now)
{
    auto &entry = m_entries[upstream];
    if (!entry.incarnation.empty() && entry.incarnation != incarnation) {
        sawColdStart(upstream, now);
    }
    entry.incarnation = incarnation;
}

void LimitBook::sawColdStart(const std::string &upstream, base::TimePoint now)
{
    m_entries[upstream].coldSince = now;
}

std::uint32_t LimitBook::allowed(const Entry &entry, base::TimePoint now) const
{
    const auto &limit = entry.limit;
    const double ramp = std::max(base::toSeconds(limit.ramp), 1e-3);
    const double warmed = std::clamp(base::toSeconds(now - entry.coldSince) / ramp, 0.0, 1.0);
    const double whole = limit.cold + warmed * (static_cast<double>(limit.warm) - limit.cold);
    return static_cast<std::uint32_t>(whole) / m_members;
}

} // namespace ibisfork::upstream
