#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/rowversion.h"

namespace ibisfork::gateway {

/// Times of a rollout's steps by the store's clock, in milliseconds, kept as a row that all nodes follow, also those
/// that see the order later or restart.
struct RolloutPlan
{
    /// Row version of the order.
    RowVersion orderRow;
    /// When the first node saw the order.
    std::int64_t startMs = 0;
    /// When all requests move to the new version; set once the evidence of all nodes allows it.
    std::optional<std::int64_t> fullMs;
};

/// Encodes @p plan as the JSON text that is stored.
std::string encodeRolloutPlan(const RolloutPlan &plan);
/// Decodes a stored plan; nothing if @p text is not valid.
std::optional<RolloutPlan> decodeRolloutPlan(const std::string &text);

} // namespace ibisfork::gateway
