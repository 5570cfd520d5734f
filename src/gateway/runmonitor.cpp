#include "gateway/runmonitor.h"

#include <algorithm>

namespace ibisfork::gateway {

RunId RunMonitor::recordSent(const MonitoredRun &run, base::TimePoint now)
{
    m_open.emplace(++m_lastId, OpenRun{run, now, std::nullopt});
    return m_lastId;
}

bool RunMonitor::isLate(const OpenRun &open, base::TimePoint now) const
{
    const auto &run = open.run;
    return now - open.sentAt > m_usual.lateAfter(run.kind, run.promptTokens).value_or(run.objective);
}

std::optional<RunVerdict> RunMonitor::judge(OpenRun &open, RunQuality quality)
{
    const bool wasGood = open.quality == RunQuality::Good;
    if (open.quality && (!wasGood || quality == RunQuality::Good)) {
        return std::nullopt;
    }
    open.quality = quality;
    return RunVerdict{open.run, quality, wasGood};
}

std::optional<RunVerdict> RunMonitor::recordFirstByte(RunId id, base::TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto &open = found->second;
    auto verdict = judge(open, isLate(open, now) ? RunQuality::Late : RunQuality::Good);
    if (open.run.version != m_trialVersion) {
        m_usual.record(open.run.kind, open.run.promptTokens, now - open.sentAt);
    }
    return verdict;
}

std::optional<RunVerdict> RunMonitor::recordEnded(RunId id, RunEnd end, base::TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto &open = found->second;
    std::optional<RunVerdict> verdict;
    if (end == RunEnd::Failed) {
        verdict = judge(open, RunQuality::Failed);
    } else if (end == RunEnd::TimedOut || (!open.quality && isLate(open, now))) {
        verdict = judge(open, RunQuality::Late);
    } else if (end == RunEnd::Answered) {
        verdict = judge(open, RunQuality::Good);
    }
    m_open.erase(found);
    return verdict;
}

std::vector<RunVerdict> RunMonitor::judgeUnanswered(base::TimePoint now)
{
    std::vector<RunVerdict> verdicts;
    for (auto &[id, open] : m_open) {
        if (!open.quality && isLate(open, now)) {
            verdicts.push_back(*judge(open, RunQuality::Late));
        }
    }
    return verdicts;
}

unsigned RunMonitor::unjudged(const std::string &version) const
{
    return static_cast<unsigned>(std::count_if(m_open.begin(), m_open.end(), [&](const auto &item) {
        return !item.second.quality && item.second.run.version == version;
    }));
}

} // namespace ibisfork::gateway
