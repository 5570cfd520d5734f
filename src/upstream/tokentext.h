#pragma once

#include <optional>
#include <string>

namespace ibisfork::upstream {

/// The text in one event of a chat completion's stream, at choices[0].delta.content; empty if the delta has none.
/// Nothing if @p event is not such an event.
std::optional<std::string> tokenText(const std::string &event);

} // namespace ibisfork::upstream
