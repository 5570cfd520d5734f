#pragma once

#include <optional>
#include <string>

#include "gateway/factsource.h"

namespace ibisfork::gateway {

/// What a node writes of itself in the store, for other nodes to find it.
std::string encodeNodeRow(const FactPeer &node);
/// Nothing if @p text is no such row.
std::optional<FactPeer> decodeNodeRow(const std::string &name, const std::string &text);

} // namespace ibisfork::gateway
