#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::settings {

namespace errormessage {
inline constexpr const char *unreadable = "{}: can't be read";
inline constexpr const char *halfTls = "tls: certificate and key are given together or not at all";
inline constexpr const char *inFile = "{}: {}";
} // namespace errormessage

/// A node's settings that can't be taken; the message names file, line and field.
class SettingsError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::settings
