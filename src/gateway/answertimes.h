#pragma once

#include <map>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// When each engine has answered this node, to tell an engine that paused from one that answers slowly: after a pause
/// all that waited there is answered at about the same moment.
class AnswerTimes
{
public:
    /// Answers so close to each other belong to one burst.
    static constexpr std::chrono::milliseconds burstTime{100};

    void record(const std::string &engineId, base::TimePoint now);
    /// True if the engine has answered nothing since @p sentAt.
    bool isSilentSince(const std::string &engineId, base::TimePoint sentAt) const;
    /// When the engine went on, if it answers again at @p now and had answered nothing between @p sentAt and then.
    std::optional<base::TimePoint> wentOnAt(const std::string &engineId,
                                            base::TimePoint sentAt,
                                            base::TimePoint now) const;

private:
    struct Burst
    {
        base::TimePoint began{};
        base::TimePoint last{};
        /// Last answer before the burst; nothing is known before the first one.
        base::TimePoint before{};
    };

    /// The latest burst of each engine.
    std::map<std::string, Burst> m_bursts;
};

} // namespace ibisfork::gateway
