#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::coord {

namespace errormessage {
inline constexpr const char *revisionGap = "change does not directly follow the revision held";
inline constexpr const char *noMembers = "the member list is empty";
} // namespace errormessage

/// Thrown by the classes of this namespace on invalid input.
class CoordError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::coord
