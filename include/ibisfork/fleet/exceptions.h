#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::fleet {

namespace errormessage {
inline constexpr const char *badRow = "row {} can't be read: {}";
inline constexpr const char *badField = "line {}: {}: {}";
inline constexpr const char *missingField = "line {}: {} is required";
inline constexpr const char *unknownField = "line {}: unknown field '{}'{}";
} // namespace errormessage

/// A fleet configuration or a row of it that can't be taken.
class ConfigError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::fleet
