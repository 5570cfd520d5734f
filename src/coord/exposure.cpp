#include <ibisfork/coord/exposure.h>

#include <algorithm>

namespace ibisfork::coord {

Allowances divideCap(std::uint32_t cap, const std::vector<std::string> &incarnations)
{
    Allowances allowances;
    auto sorted = incarnations;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    const auto count = static_cast<std::uint32_t>(sorted.size());
    for (std::uint32_t place = 0; place < count; ++place) {
        allowances[sorted[place]] = cap / count + (place < cap % count ? 1 : 0);
    }
    return allowances;
}

ExposureTracker::ExposureTracker(std::string incarnation)
    : m_incarnation(std::move(incarnation))
{ }

void ExposureTracker::update(const std::string &subject, const std::string &step, const Allowances &allowances)
{
    auto &entry = m_entries[subject];
    if (entry.step != step) {
        entry = {step, 0, 0};
    }
    const auto own = allowances.find(m_incarnation);
    entry.allowance = own == allowances.end() ? 0 : own->second;
}

void ExposureTracker::close(const std::string &subject)
{
    const auto entry = m_entries.find(subject);
    if (entry != m_entries.end()) {
        entry->second.allowance = 0;
    }
}

bool ExposureTracker::hasAllowance(const std::string &subject) const
{
    const auto entry = m_entries.find(subject);
    return entry != m_entries.end() && entry->second.used < entry->second.allowance;
}

bool ExposureTracker::consume(const std::string &subject)
{
    if (!hasAllowance(subject)) {
        return false;
    }
    ++m_entries.at(subject).used;
    return true;
}

std::uint32_t ExposureTracker::used(const std::string &subject) const
{
    const auto entry = m_entries.find(subject);
    return entry == m_entries.end() ? 0 : entry->second.used;
}

} // namespace ibisfork::coord
