#pragma once

#include <string>

namespace ibisfork::soak {

/// The body of @p bytes bytes that goes with request @p id, so that each byte tells whose it is.
std::string longText(const std::string &id, std::size_t bytes);
/// Whether @p part is what stands in that body from @p at on.
bool isPartOfLongText(const std::string &id, std::size_t at, std::string_view part);
/// Length of the body that request @p id has, and of the answer that it gets, in bytes.
std::size_t longBodyBytes(const std::string &id);
std::size_t longAnswerBytes(const std::string &id);

} // namespace ibisfork::soak
