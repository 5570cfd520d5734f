#include "load/reportboard.h"

#include <algorithm>

namespace ibisfork::load {

bool ReportBoard::put(const Report &report, base::TimePoint now)
{
    if (now - report.saidAt > lifetime) {
        return false;
    }
    auto &entry = m_entries[report.engine];
    if (entry.version != 0 && report.saidAt < entry.report.saidAt + leastDifference) {
        return false;
    }
    entry = {report, ++m_version};
    return true;
}

void ReportBoard::dropOld(base::TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) { return now - item.second.report.saidAt > lifetime; });
}

std::vector<Report> ReportBoard::changesAfter(std::uint64_t version, std::size_t most) const
{
    std::vector<Report> changes;
    for (const auto &item : m_entries) {
        if (item.second.version > version) {
            changes.push_back(item.second.report);
        }
    }
    const auto isNewer = [](const Report &left, const Report &right) {
        return left.saidAt > right.saidAt;
    };
    std::sort(changes.begin(), changes.end(), isNewer);
    changes.resize(std::min(changes.size(), most));
    return changes;
}

} // namespace ibisfork::load
