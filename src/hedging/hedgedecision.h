#pragma once

#include <optional>

#include <ibisfork/base/clock.h>

#include "load/latencymodel.h"

namespace ibisfork::hedging {

/// Share of the answers that come before a request counts as slow.
inline constexpr double slowShare = 0.95;

/// The time after which a request counts as slow. @p usual: within which most answers of its route come, if enough have
/// come; @p expected: the time to the first byte at the usual engine, if that is estimated. Nothing if neither is
/// known.
std::optional<base::Duration> slowAfter(std::optional<base::Duration> usual, std::optional<base::Duration> expected);

/// What is known when a request is slow and another engine could get a copy of it.
struct HedgeQuestion
{
    /// Time within which most answers come.
    base::Duration usual{};
    /// Time that the request still has.
    base::Duration left{};
    /// State of the other engine, and the time that it is expected to take, where that is estimated.
    load::EngineState other{};
    std::optional<base::Duration> expectedAtOther{};
};

/// True if a copy at the other engine will very likely be sooner than the answer under way, and finds a free slot.
bool isCopyWorthwhile(const HedgeQuestion &question);

} // namespace ibisfork::hedging
