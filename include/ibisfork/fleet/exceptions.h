#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::fleet {

namespace errormessage {
inline constexpr const char *badRow = "row {} can't be read: {}";
inline constexpr const char *badField = "line {}: {}: {}";
inline constexpr const char *missingField = "line {}: {} is required";
inline constexpr const char *unknownField = "line {}: unknown field '{}'{}";
inline constexpr const char *givenTwice = "{} {} is given twice";
inline constexpr const char *badException = "exception {}: {}";
inline constexpr const char *unknownRule = "unknown field '{}'";
inline constexpr const char *badNumber = "{}: '{}' is not a number from {} to {}";
inline constexpr const char *badFlag = "{}: '{}' is neither true nor false";
inline constexpr const char *badName = "{}: '{}' is not {}";
inline constexpr const char *shortSecret = "session key {}: the secret must have at least {} bytes";
} // namespace errormessage

/// A fleet configuration or a row of it that can't be taken.
class ConfigError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::fleet
