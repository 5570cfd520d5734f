#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::net {

namespace errormessage {
inline constexpr const char *badAddress = "'{}' is not an address of the form IP:PORT";
inline constexpr const char *noEventBase = "no event base could be made";
inline constexpr const char *badCertificate = "{}: no certificate in PEM can be read";
inline constexpr const char *badPrivateKey = "{}: no private key that fits the certificate {} can be read";
inline constexpr const char *cannotListen = "cannot listen on {}";
} // namespace errormessage

/// A socket, an address or an event loop that can't be had.
class NetError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::net
