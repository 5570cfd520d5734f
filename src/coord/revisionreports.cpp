#include <ibisfork/coord/revisionreports.h>

#include <algorithm>

namespace ibisfork::coord {

std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

void RevisionReports::note(const std::string &incarnation, Revision known, base::TimePoint asOf)
{
    auto &report = m_reports[incarnation];
    if (known > report.known) {
        report = {known, asOf};
    } else if (known == report.known) {
        report.asOf = std::max(report.asOf, asOf);
    }
}

std::optional<base::TimePoint> RevisionReports::majorityAsOf(const MemberSet &members, Revision held) const
{
    std::vector<base::TimePoint> instants;
    for (const auto &member : members) {
        const auto report = m_reports.find(member);
        if (report != m_reports.end() && report->second.known <= held) {
            instants.push_back(report->second.asOf);
        }
    }
    const auto wanted = majorityOf(members.size());
    if (instants.size() < wanted) {
        return std::nullopt;
    }
    const auto last = instants.begin() + static_cast<std::ptrdiff_t>(wanted) - 1;
    std::nth_element(instants.begin(), last, instants.end(), std::greater<>());
    return *last;
}

void RevisionReports::keepOnly(const MemberSet &members)
{
    std::erase_if(m_reports, [&members](const auto &entry) { return !members.contains(entry.first); });
}

} // namespace ibisfork::coord
