#pragma once

#include <optional>

#include <ibisfork/base/clock.h>

namespace ibisfork::load {

/// How long work takes at an engine, as a multiple of what it takes at the usual engine of its service: what the engine
/// says of its machine now, times what its own answers have shown.
class Pace
{
public:
    static constexpr double least = 0.1;
    static constexpr double most = 20.0;

    /// Records what the engine says of its machine; 1 is usual. Kept within least and most.
    void recordReported(double slowdown, base::TimePoint now);
    /// Records an answer that took @p ratio times what was expected of the usual engine in the same state of its
    /// machine.
    void recordSeen(double ratio);
    /// The pace to expect at @p now. What the engine has said counts less the older it is.
    double at(base::TimePoint now) const { return reportedAt(now) * m_learned; }
    /// The part that the engine has said.
    double reportedAt(base::TimePoint now) const;
    /// The part that its answers have shown.
    double learned() const { return m_learned; }
    /// True if the engine says how long work takes on its machine.
    bool isReported() const { return m_reported.has_value(); }

private:
    std::optional<double> m_reported;
    base::TimePoint m_reportedAt{};
    double m_learned = 1;
};

} // namespace ibisfork::load
