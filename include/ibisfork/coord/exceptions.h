#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::coord {

namespace errormessage {
inline constexpr const char *revisionGap = "change does not follow the revision held";
inline constexpr const char *noMembers = "the member list is empty";
} // namespace errormessage

/// An input that a coordination part can't take.
class CoordError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::coord
