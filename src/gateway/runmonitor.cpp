#include "gateway/runmonitor.h"

#include <algorithm>
#include <iterator>

namespace ibisfork::gateway {

RunId RunMonitor::recordSent(const MonitoredRun &run, base::TimePoint now)
{
    const auto lateAfter = m_usual.lateAfter(run.kind, run.promptTokens).value_or(run.objective);
    m_open.emplace(++m_lastId, OpenRun{run, now, now + lateAfter, std::nullopt, false, false});
    return m_lastId;
}

std::optional<RunVerdict> RunMonitor::judge(OpenRun &open, base::TimePoint now)
{
    if (open.isJudged || now <= open.lateAt) {
        return std::nullopt;
    }
    open.isJudged = true;
    open.quality = open.quality.value_or(RunQuality::Late);
    return RunVerdict{open.run, *open.quality, false};
}

std::optional<RunVerdict> RunMonitor::recordFirstByte(RunId id, base::TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto &open = found->second;
    if (open.run.version != m_trialVersion) {
        m_usual.record(open.run.kind, open.run.promptTokens, now - open.sentAt);
    }
    if (!open.quality && now <= open.lateAt) {
        open.quality = RunQuality::Good;
    }
    return judge(open, now);
}

std::optional<RunVerdict> RunMonitor::recordEnded(RunId id, RunEnd end, base::TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto &open = found->second;
    const bool isBad = end == RunEnd::Failed || end == RunEnd::TimedOut;
    const bool wasGood = open.isJudged && open.quality == RunQuality::Good;
    if (isBad && open.quality != RunQuality::Late) {
        open.quality = end == RunEnd::Failed ? RunQuality::Failed : RunQuality::Late;
    }
    if (!open.isJudged && open.quality && now <= open.lateAt) {
        open.hasEnded = true;
        return std::nullopt;
    }
    auto verdict = judge(open, now);
    if (isBad && wasGood) {
        verdict = RunVerdict{open.run, *open.quality, true};
    }
    m_open.erase(found);
    return verdict;
}

std::vector<RunVerdict> RunMonitor::judgeByAge(base::TimePoint now)
{
    std::vector<RunVerdict> verdicts;
    for (auto item = m_open.begin(); item != m_open.end();) {
        auto &open = item->second;
        if (auto verdict = judge(open, now)) {
            verdicts.push_back(std::move(*verdict));
        }
        item = open.hasEnded && open.isJudged ? m_open.erase(item) : std::next(item);
    }
    return verdicts;
}

void RunMonitor::discardUnjudged()
{
    std::erase_if(m_open, [](const auto &item) { return !item.second.isJudged; });
}

unsigned RunMonitor::unjudged(const std::string &version) const
{
    return static_cast<unsigned>(std::count_if(m_open.begin(), m_open.end(), [&](const auto &item) {
        return !item.second.isJudged && item.second.run.version == version;
    }));
}

} // namespace ibisfork::gateway
