#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>

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
    };

    /// Verdict on @p open if one is due at @p now.
    static std::optional<RunVerdict> judge(OpenRun &open, base::TimePoint now);

    UsualTimes m_usual;
    std::string m_trialVersion;
    std::map<RunId, OpenRun> m_open;
    RunId m_lastId = 0;
};

} // namespace ibisfork::gateway
