#include "upstream/slowfirsttokendetector.h"

namespace ibisfork::upstream {

namespace {

/// Number of samples required before a time can be classified as slow.
constexpr std::uint32_t minSamples = 16;
/// Weight of a new sample in the exponential moving average.
constexpr double sampleWeight = 1.0 / 16;
/// Ratio to the mean above which a time is slow. A full batch alone doubles the time to the first token, so the ratio
/// of a cold start must be well above 2.
constexpr double slowFactor = 5;
/// Times up to this are never classified as slow.
constexpr double maxNormalSeconds = 0.2;

} // namespace

bool SlowFirstTokenDetector::add(base::Duration elapsed)
{
    const double seconds = base::toSeconds(elapsed);
    if (m_count >= minSamples && seconds > maxNormalSeconds && seconds > slowFactor * m_mean) {
        // The slow time is left out of the mean. Halving the count suspends detection for the next samples and gives
        // them more weight, so that several slow times in a row establish a new mean.
        m_count = minSamples / 2;
        return true;
    }
    ++m_count;
    const double weight = m_count <= minSamples ? 1.0 / m_count : sampleWeight;
    m_mean += weight * (seconds - m_mean);
    return false;
}

} // namespace ibisfork::upstream
