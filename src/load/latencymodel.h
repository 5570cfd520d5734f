#pragma once

#include <cstdint>

#include <ibisfork/base/clock.h>

namespace ibisfork::load {

/// What is known of an engine when work is to be placed.
struct EngineState
{
    /// Requests that it is expected to hold, running and waiting.
    double requests = 0;
    std::uint32_t slots = 1;
    /// Prompt tokens of requests sent there whose answers have not begun.
    std::uint64_t pendingTokens = 0;
    /// How long work takes there now, as a multiple of what it takes at the usual engine.
    double pace = 1;
};

/// Learns from the answers of a service how long an engine takes to begin an answer: a fixed time, and one for each
/// prompt token that it has to read. Older answers count less and less.
class LatencyModel
{
public:
    /// False while there are too few answers for an estimate.
    bool isLearned() const;
    /// Time to the first byte of an answer to a prompt of which @p tokens have to be read, at an engine in @p state.
    base::Duration firstByte(std::uint64_t tokens, const EngineState &state) const;
    /// Time that the usual engine takes to read @p tokens of a prompt.
    base::Duration reading(std::uint64_t tokens) const;
    /// Records an answer that began after @p seen.
    void record(std::uint64_t tokens, const EngineState &state, base::Duration seen);

private:
    /// How much longer than at the usual engine without other work an answer takes in @p state.
    static double stretch(const EngineState &state);
    void solve();

    /// Sums over the answers: their count, their tokens in thousands, their times in seconds, and the products.
    double m_count = 0;
    double m_tokens = 0;
    double m_tokensSquared = 0;
    double m_times = 0;
    double m_products = 0;
    double m_fixedSeconds = 0;
    double m_secondsPerThousand = 0;
};

} // namespace ibisfork::load
