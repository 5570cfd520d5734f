#include "gateway/usualtimes.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Fewer runs say too little about the usual time.
constexpr unsigned minRuns = 5;
/// Weight of the newest run in a mean, once the mean has as many runs as this stands for; earlier, all weigh the same.
constexpr double minWeight = 0.05;
/// A first byte is late after lateFactor times the usual time plus lateSlack.
constexpr double lateFactor = 2.5;
constexpr std::chrono::milliseconds lateSlack{100};
/// Largest allowance for a long prompt, as a factor on the usual time.
constexpr double maxPromptFactor = 8.0;

} // namespace

void UsualTimes::record(const RunKind &kind, std::uint32_t promptTokens, base::Duration firstByte)
{
    auto &mean = m_means[kind];
    ++mean.runs;
    const double weight = std::max(minWeight, 1.0 / mean.runs);
    mean.firstByteSeconds += weight * (base::toSeconds(firstByte) - mean.firstByteSeconds);
    mean.promptTokens += weight * (promptTokens - mean.promptTokens);
}

std::optional<base::Duration> UsualTimes::lateAfter(const RunKind &kind, std::uint32_t promptTokens) const
{
    const auto found = m_means.find(kind);
    if (found == m_means.end() || found->second.runs < minRuns) {
        return std::nullopt;
    }
    const auto &mean = found->second;
    const double promptFactor
        = mean.promptTokens > 0 ? std::clamp(promptTokens / mean.promptTokens, 1.0, maxPromptFactor) : 1.0;
    const std::chrono::duration<double> late(lateFactor * promptFactor * mean.firstByteSeconds);
    return std::chrono::duration_cast<base::Duration>(late) + lateSlack;
}

} // namespace ibisfork::gateway
