#pragma once

#include <optional>
#include <string>

namespace ibisfork::upstream {

/// Returns the text at choices[0].delta.content in one event of a streamed chat completion; an empty string if the
/// delta has no content, nothing if @p event is not such an event.
std::optional<std::string> tokenText(const std::string &event);

} // namespace ibisfork::upstream
