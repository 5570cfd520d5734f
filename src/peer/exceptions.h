#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::peer {

namespace errormessage {
inline constexpr const char *zmq = "{} failed: {}";
inline constexpr const char *noCurve = "libzmq was built without CURVE";
inline constexpr const char *badKey = "a CURVE key must be 40 characters of Z85";
} // namespace errormessage

/// A socket between nodes that can't be set up.
class PeerError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::peer
