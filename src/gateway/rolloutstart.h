#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ibisfork::gateway {

/// When a roll-out began, as the first node that saw its order wrote it down. All nodes go by it, also those that see
/// the order later or start anew.
struct RolloutStart
{
    /// Row version of the order.
    std::uint64_t orderRow = 0;
    /// The store's clock, in milliseconds.
    std::int64_t storeMs = 0;
};

std::string encodeRolloutStart(const RolloutStart &start);
/// Nothing if @p text is no start.
std::optional<RolloutStart> decodeRolloutStart(const std::string &text);

} // namespace ibisfork::gateway
