#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>

#include "gateway/answertimes.h"
#include "gateway/usualtimes.h"

namespace ibisfork::gateway {

/// A request sent to an engine, as far as it matters for judging the engine's version.
struct MonitoredRun
{
    std::string version;
    std::string engineId;
    RunKind kind;
    std::uint32_t promptTokens = 0;
    /// Time to the first byte above which the run is late if nothing is known about the usual time.
    base::Duration objective{};
};

/// How a run ended.
enum class RunEnd {
    Answered,
    Failed, ///< The engine reported a failure or sent an invalid response.
    TimedOut, ///< It was cut off because its response or the rest of it did not arrive.
    Withdrawn, ///< It ended for a reason that says nothing about the version, such as a caller that left.
};

/// Verdict on a run.
enum class RunQuality { Good, Late, Failed };
inline constexpr std::array<base::Name<RunQuality>, 3> runQualityNames{{
    {RunQuality::Good, "good"},
    {RunQuality::Late, "late"},
    {RunQuality::Failed, "failed"},
}};

struct RunVerdict
{
    MonitoredRun run;
    RunQuality quality = RunQuality::Good;
    /// The run had been judged good before, when its first byte arrived.
    bool isRevised = false;
};

/// Identifies an open run; 0 stands for none.
using RunId = std::uint64_t;

/// Judges the runs of a service, each one at the age at which its first byte would be several times later than usual,
/// on time, late or failed, whether it has been answered or not. If fast runs counted sooner than slow ones, the first
/// verdicts on a slow version would be good. A run that fails after that age is judged again.
///
/// Sound engines may pause. Once a run has been late at a silent engine, further ones are not judged while their
/// engines are silent too, for as long as a pause lasts; those that waited through a pause together get no verdict.
class RunMonitor
{
public:
    RunId recordSent(const MonitoredRun &run, base::TimePoint now);
    /// Sets the version on trial; the usual times are learned from the runs of all others. Empty: none is on trial.
    void setTrialVersion(const std::string &version) { m_trialVersion = version; }
    /// Records the first byte of a response that is no failure.
    std::optional<RunVerdict> recordFirstByte(RunId id, base::TimePoint now);
    std::optional<RunVerdict> recordEnded(RunId id, RunEnd end, base::TimePoint now);
    /// Judges the runs that can be judged at @p now though nothing has happened to them.
    std::vector<RunVerdict> judgeByAge(base::TimePoint now);

    /// Forgets the runs without a verdict; they say nothing about their versions after this node has stood still.
    void discardUnjudged();

    /// Number of runs of @p version without a verdict.
    unsigned unjudged(const std::string &version) const;

private:
    struct OpenRun
    {
        MonitoredRun run;
        base::TimePoint sentAt;
        /// When the run counts as late if its first byte has not arrived.
        base::TimePoint lateAt;
        /// What is known of its quality: nothing while its first byte and its end are still to come.
        std::optional<RunQuality> quality;
        bool isJudged = false;
        bool hasEnded = false;
        /// The run was late and is answered: when its engine went on after it had been silent since the run was sent.
        std::optional<base::TimePoint> wentOnAt{};
    };

    /// Verdict on @p open if one is due at @p now.
    std::optional<RunVerdict> judge(OpenRun &open, base::TimePoint now);
    /// True if a run of @p version was judged late at a silent engine not longer ago than a pause lasts.
    bool isSilenceJudged(const std::string &version, base::TimePoint now) const;
    /// Records that @p open is judged late.
    void recordLate(const OpenRun &open, base::TimePoint now);
    /// True if the engine may merely pause, so that nothing can be said of @p open yet.
    bool mayPause(const OpenRun &open, base::TimePoint now) const;
    /// Withholds the verdicts on runs that waited together until their engines went on.
    void discardPaused(base::TimePoint now);

    UsualTimes m_usual;
    AnswerTimes m_answers;
    /// When a run was last judged late at once although its engine was silent, by version.
    std::map<std::string, base::TimePoint> m_silenceJudgedAt;
    std::string m_trialVersion;
    std::map<RunId, OpenRun> m_open;
    RunId m_lastId = 0;
};

} // namespace ibisfork::gateway
