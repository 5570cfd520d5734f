#include "hedging/hedgedecision.h"

namespace ibisfork::hedging {

namespace {

/// A copy never adds to a queue: beyond this share of its slots an engine is kept for first copies.
constexpr double mostOccupied = 0.75;

} // namespace

bool isCopyWorthwhile(const HedgeQuestion &question)
{
    const double slots = question.other.slots;
    // The copy itself takes one of the slots.
    const bool hasRoom = question.other.requests + 1 <= mostOccupied * slots;
    const auto expected = question.expectedAtOther.value_or(question.usual);
    return hasRoom && expected <= question.usual && expected < question.left;
}

} // namespace ibisfork::hedging
