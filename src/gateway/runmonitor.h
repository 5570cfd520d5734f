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

/// Judges each run of a service as soon as it can be judged: on time or late at its first byte, failed at its end, and
/// late without any answer once the time in which runs of its kind usually answer is exceeded several times.
class RunMonitor
{
public:
    RunId recordSent(const MonitoredRun &run, base::TimePoint now);
    /// Sets the version on trial; the usual times are learned from the runs of all others. Empty: none is on trial.
    void setTrialVersion(const std::string &version) { m_trialVersion = version; }
    /// Records the first byte of a response that is no failure.
    std::optional<RunVerdict> recordFirstByte(RunId id, base::TimePoint now);
    std::optional<RunVerdict> recordEnded(RunId id, RunEnd end, base::TimePoint now);
    /// Judges the runs whose first byte is late by now.
    std::vector<RunVerdict> judgeUnanswered(base::TimePoint now);

    /// Number of runs of @p version that are neither judged nor ended.
    unsigned unjudged(const std::string &version) const;

private:
    struct OpenRun
    {
        MonitoredRun run;
        base::TimePoint sentAt;
        std::optional<RunQuality> quality;
    };

    bool isLate(const OpenRun &open, base::TimePoint now) const;
    static std::optional<RunVerdict> judge(OpenRun &open, RunQuality quality);

    UsualTimes m_usual;
    std::string m_trialVersion;
    std::map<RunId, OpenRun> m_open;
    RunId m_lastId = 0;
};

} // namespace ibisfork::gateway
