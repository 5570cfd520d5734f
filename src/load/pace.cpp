#include "load/pace.h"

#include <algorithm>
#include <cmath>

namespace ibisfork::load {

namespace {

/// Neighbours on a machine come and go within this time, about.
constexpr std::chrono::duration<double> reportMemory{0.6};
/// Weight of the newest answer.
constexpr double answerWeight = 0.2;
/// Bounds on what one answer says: it may have waited for reasons of its own.
constexpr double leastRatio = 0.25;
constexpr double mostRatio = 4.0;

} // namespace

void Pace::recordReported(double slowdown, base::TimePoint now)
{
    m_reported = std::clamp(slowdown, least, most);
    m_reportedAt = now;
}

void Pace::recordSeen(double ratio)
{
    m_learned += answerWeight * (std::clamp(ratio, leastRatio, mostRatio) - m_learned);
}

double Pace::reportedAt(base::TimePoint now) const
{
    if (!m_reported) {
        return 1;
    }
    const std::chrono::duration<double> age = std::max(base::Duration::zero(), now - m_reportedAt);
    return 1 + (*m_reported - 1) * std::exp(-age / reportMemory);
}

} // namespace ibisfork::load
