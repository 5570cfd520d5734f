#include "gateway/runmonitor.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "gateway/enginepause.h"

namespace ibisfork::gateway {

namespace {

/// A shorter silence is no pause.
constexpr std::chrono::milliseconds shortestPause{500};
/// Runs that were sent within this time of each other may be answered together without a pause.
constexpr std::chrono::milliseconds minSpreadInPause{250};

/// Runs of one engine that waited until it went on.
struct PausedRuns
{
    base::TimePoint firstSentAt = base::TimePoint::max();
    base::TimePoint lastSentAt{};

    void add(base::TimePoint sentAt)
    {
        firstSentAt = std::min(firstSentAt, sentAt);
        lastSentAt = std::max(lastSentAt, sentAt);
    }
    bool showPauseUntil(base::TimePoint wentOnAt) const
    {
        return wentOnAt - firstSentAt >= shortestPause && lastSentAt - firstSentAt >= minSpreadInPause;
    }
};

} // namespace

RunId RunMonitor::recordSent(const MonitoredRun &run, base::TimePoint now)
{
    const auto lateAfter = m_usual.lateAfter(run.kind, run.promptTokens).value_or(run.objective);
    m_open.emplace(++m_lastId, OpenRun{run, now, now + lateAfter, std::nullopt, false, false});
    return m_lastId;
}

bool RunMonitor::isSilenceJudged(const std::string &version, base::TimePoint now) const
{
    const auto found = m_silenceJudgedAt.find(version);
    return found != m_silenceJudgedAt.end() && now - found->second < longestPause;
}

void RunMonitor::recordLate(const OpenRun &open, base::TimePoint now)
{
    const auto &[version, engine] = std::tie(open.run.version, open.run.engineId);
    const bool wasSilent
        = m_answers.isSilentSince(engine, open.sentAt) || m_answers.wentOnAt(engine, open.sentAt, now).has_value();
    if (wasSilent && !isSilenceJudged(version, now)) {
        m_silenceJudgedAt[version] = now;
    }
}

bool RunMonitor::mayPause(const OpenRun &open, base::TimePoint now) const
{
    if (open.quality) {
        return false;
    }
    if (open.wentOnAt) {
        return now - *open.wentOnAt <= AnswerTimes::burstTime;
    }
    if (!isSilenceJudged(open.run.version, now)) {
        return false;
    }
    const auto &engine = open.run.engineId;
    const bool isSilent = m_answers.isSilentSince(engine, open.sentAt) && now - open.sentAt < longestPause;
    return isSilent || m_answers.wentOnAt(engine, open.sentAt, now).has_value();
}

std::optional<RunVerdict> RunMonitor::judge(OpenRun &open, base::TimePoint now)
{
    if (open.isJudged || now <= open.lateAt || mayPause(open, now)) {
        return std::nullopt;
    }
    open.isJudged = true;
    if (!open.quality) {
        open.quality = RunQuality::Late;
        recordLate(open, now);
    }
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
    m_answers.record(open.run.engineId, now);
    if (!open.quality && now <= open.lateAt) {
        open.quality = RunQuality::Good;
    } else if (!open.quality && isSilenceJudged(open.run.version, now)) {
        open.wentOnAt = m_answers.wentOnAt(open.run.engineId, open.sentAt, now);
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
    const bool isDueLater = open.quality ? now <= open.lateAt : open.wentOnAt && mayPause(open, now);
    if (!open.isJudged && isDueLater) {
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
    discardPaused(now);
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

void RunMonitor::discardPaused(base::TimePoint now)
{
    using EngineWentOn = std::pair<std::string, base::TimePoint>;
    std::map<EngineWentOn, PausedRuns> paused;
    for (const auto &item : m_open) {
        const auto &open = item.second;
        if (open.wentOnAt && !open.isJudged && !open.quality && !mayPause(open, now)) {
            paused[{open.run.engineId, *open.wentOnAt}].add(open.sentAt);
        }
    }
    std::erase_if(m_open, [&](const auto &item) {
        const auto &open = item.second;
        if (!open.wentOnAt || open.isJudged) {
            return false;
        }
        const auto found = paused.find({open.run.engineId, *open.wentOnAt});
        return found != paused.end() && found->second.showPauseUntil(*open.wentOnAt);
    });
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
