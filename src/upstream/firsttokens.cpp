#include "upstream/firsttokens.h"

namespace ibisfork::upstream {

namespace {

/// Answers before a time can be called slow.
constexpr std::uint32_t enough = 16;
/// Weight of the newest time in the mean.
constexpr double newest = 1.0 / 16;
/// A full batch doubles the time, so a cold start must be well above that.
constexpr double slowFactor = 5;
constexpr double slowestNormalSeconds = 0.2;

} // namespace

bool FirstTokens::add(base::Duration after)
{
    const double seconds = base::toSeconds(after);
    if (m_count >= enough && seconds > slowestNormalSeconds && seconds > slowFactor * m_mean) {
        // Cold times don't count towards the mean, but a few in a row start it anew.
        m_count = enough / 2;
        return true;
    }
    ++m_count;
    const double weight = m_count <= enough ? 1.0 / m_count : newest;
    m_mean += weight * (seconds - m_mean);
    return false;
}

} // namespace ibisfork::upstream
