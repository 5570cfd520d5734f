#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::platform {

namespace errormessage {
inline constexpr const char *badAnswer = "the platform's answer can't be read: {}";
} // namespace errormessage

/// An answer of the platform that can't be read.
class PlatformError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::platform
