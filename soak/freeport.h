#pragma once

#include "net/address.h"

namespace ibisfork::soak {

/// A port of 127.0.0.1 on which nothing listens, below those that outgoing connections get; the next one at each call.
net::Address freePort();

} // namespace ibisfork::soak
