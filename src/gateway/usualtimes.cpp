#include "gateway/usualtimes.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Fewer runs say too little about the usual time.
constexpr unsigned minRuns = 5;
/// Weight of the newest run in a fit, once the fit has as many runs as this stands for; earlier, all weigh the same.
constexpr double minWeight = 0.03;
/// A first byte is late after lateFactor times the usual time plus lateSlack.
constexpr double lateFactor = 2.5;
constexpr std::chrono::milliseconds lateSlack{40};
/// Bounds of the fitted time, as fractions of the mean: a fit to few runs may be far off at its ends.
constexpr double minOfMean = 0.2;
constexpr double maxOfMean = 10.0;

} // namespace

void UsualTimes::Fit::add(double runTokens, double runSeconds)
{
    ++runs;
    const double weight = std::max(minWeight, 1.0 / runs);
    const double tokensOff = runTokens - tokens;
    const double secondsOff = runSeconds - seconds;
    tokens += weight * tokensOff;
    seconds += weight * secondsOff;
    tokensVariance = (1 - weight) * (tokensVariance + weight * tokensOff * tokensOff);
    covariance = (1 - weight) * (covariance + weight * tokensOff * secondsOff);
}

double UsualTimes::Fit::usual(double runTokens) const
{
    const double slope = tokensVariance > 0 ? std::max(0.0, covariance / tokensVariance) : 0.0;
    return std::clamp(seconds + slope * (runTokens - tokens), minOfMean * seconds, maxOfMean * seconds);
}

void UsualTimes::record(const RunKind &kind, std::uint32_t promptTokens, base::Duration firstByte)
{
    m_fits[kind].add(promptTokens, base::toSeconds(firstByte));
}

std::optional<base::Duration> UsualTimes::lateAfter(const RunKind &kind, std::uint32_t promptTokens) const
{
    const auto found = m_fits.find(kind);
    if (found == m_fits.end() || found->second.runs < minRuns) {
        return std::nullopt;
    }
    const std::chrono::duration<double> late(lateFactor * found->second.usual(promptTokens));
    return std::chrono::duration_cast<base::Duration>(late) + lateSlack;
}

} // namespace ibisfork::gateway
