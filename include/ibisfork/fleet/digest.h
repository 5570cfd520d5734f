#pragma once

#include <string>
#include <string_view>

namespace ibisfork::fleet {

/// SHA-256 of @p text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Compares in a time that does not depend on where they differ.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace ibisfork::fleet
