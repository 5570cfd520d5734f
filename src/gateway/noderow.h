#pragma once

#include <optional>
#include <string>

#include "gateway/tablesource.h"

namespace ibisfork::gateway {

/// Encodes the row, a JSON object, with which a node announces itself to other nodes in the store.
std::string encodeNodeRow(const PeerNode &node);
/// Returns nullopt and logs the reason if @p text cannot be decoded.
std::optional<PeerNode> decodeNodeRow(const std::string &name, const std::string &text);

/// Returns true if @p text says what @p node would write, and nothing more.
bool isRowOf(const PeerNode &node, const std::string &text);

} // namespace ibisfork::gateway
