#include "hedging/hedgedecision.h"

namespace ibisfork::hedging {

namespace {

/// Most answers come within this multiple of the mean.
constexpr int slowFactor = 3;
/// A copy never adds to a queue: beyond this share of its slots an engine is kept for first copies.
constexpr double mostOccupied = 0.75;

} // namespace

std::optional<base::Duration> slowAfter(std::optional<base::Duration> usual, std::optional<base::Duration> expected)
{
    if (!usual && expected) {
        return *expected * slowFactor;
    }
    return usual;
}

bool isCopyWorthwhile(const HedgeQuestion &question)
{
    const double slots = question.other.slots;
    // The copy itself takes one of the slots.
    const bool hasRoom = question.other.requests + 1 <= mostOccupied * slots;
    const auto expected = question.expectedAtOther.value_or(question.usual);
    return hasRoom && expected <= question.usual && expected < question.left;
}

} // namespace ibisfork::hedging
