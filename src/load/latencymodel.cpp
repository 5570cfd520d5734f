#include "load/latencymodel.h"

#include <algorithm>

namespace ibisfork::load {

namespace {

constexpr double tokenUnit = 1000.0;
/// What is left of an answer's weight after each further one.
constexpr double retention = 0.995;
constexpr double fewestAnswers = 8;
/// Spread of prompt lengths, as a share of their mean square, below which they say nothing of the time for a token.
constexpr double leastSpread = 1e-3;
/// An answer counts as at most this multiple of what was expected: a pause says nothing of the work.
constexpr double mostSurprise = 4.0;

double thousands(std::uint64_t tokens)
{
    return static_cast<double>(tokens) / tokenUnit;
}

base::Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bool LatencyModel::isLearned() const
{
    return m_count >= fewestAnswers;
}

// An engine works on all its requests in turn, so that each one takes longer the more there are; what finds no slot
// waits besides for as many runs as are ahead of it.
double LatencyModel::stretch(const EngineState &state)
{
    const double occupancy = state.requests / std::max<double>(1, state.slots);
    const double waiting = std::max(0.0, occupancy - 1);
    return state.pace * (1 + std::min(occupancy, 1.0) + waiting);
}

base::Duration LatencyModel::firstByte(std::uint64_t tokens, const EngineState &state) const
{
    const double seconds = m_fixedSeconds + m_secondsPerThousand * thousands(tokens + state.pendingTokens);
    return durationOf(seconds * stretch(state));
}

base::Duration LatencyModel::reading(std::uint64_t tokens) const
{
    return durationOf(m_secondsPerThousand * thousands(tokens));
}

void LatencyModel::record(std::uint64_t tokens, const EngineState &state, base::Duration seen)
{
    const double read = thousands(tokens + state.pendingTokens);
    double time = base::toSeconds(seen) / std::max(stretch(state), 1e-3);
    if (isLearned()) {
        time = std::min(time, mostSurprise * (m_fixedSeconds + m_secondsPerThousand * read));
    }
    m_count = m_count * retention + 1;
    m_tokens = m_tokens * retention + read;
    m_tokensSquared = m_tokensSquared * retention + read * read;
    m_times = m_times * retention + time;
    m_products = m_products * retention + read * time;
    solve();
}

void LatencyModel::solve()
{
    const double meanTokens = m_tokens / m_count;
    const double meanTime = m_times / m_count;
    const double meanSquare = m_tokensSquared / m_count;
    const double variance = meanSquare - meanTokens * meanTokens;
    const double covariance = m_products / m_count - meanTokens * meanTime;
    const bool isSpread = variance > leastSpread * meanSquare;
    const double slope = isSpread ? std::max(0.0, covariance / variance) : 0.0;
    // Neither part may be negative.
    m_secondsPerThousand = meanTokens > 0 ? std::min(slope, meanTime / meanTokens) : 0.0;
    m_fixedSeconds = std::max(0.0, meanTime - m_secondsPerThousand * meanTokens);
}

} // namespace ibisfork::load
