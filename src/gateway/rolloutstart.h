#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ibisfork::gateway {

/// Start time of a rollout, written to the store by the first node that saw the order. All nodes use it, including
/// those that see the order later or restart.
struct RolloutStart
{
    /// Row version of the order.
    std::uint64_t orderRow = 0;
    /// Start time by the store's clock, in milliseconds.
    std::int64_t storeMs = 0;
};

/// Encodes @p start as the JSON text that is stored.
std::string encodeRolloutStart(const RolloutStart &start);
/// Decodes a stored start; nothing if @p text is not valid.
std::optional<RolloutStart> decodeRolloutStart(const std::string &text);

} // namespace ibisfork::gateway
