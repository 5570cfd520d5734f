#pragma once

#include <cstddef>
#include <limits>

#include "settings/processlimits.h"

namespace ibisfork::gateway {

/// How many connections one port may hold.
struct ConnectionShare
{
    std::size_t served = std::numeric_limits<std::size_t>::max() / 2;
    /// Further ones, of which each is only told to come back later.
    std::size_t refused = 0;
    /// A new connection replaces the one that has gone unused longest, also if a request is coming on it. For ports
    /// whose requests come with their connections, so that slow clients keep nobody out.
    bool replacesOldest = false;
};

/// How many connections each port may hold, so that engines, the store, other nodes and files have descriptors left.
struct ConnectionShares
{
    ConnectionShare callers;
    ConnectionShare forwarded;
    ConnectionShare operators;
    ConnectionShare readiness;
};

/// The shares under the limit that the deployment sets, if it does, and the one of the operating system.
ConnectionShares connectionShares(const settings::ProcessLimits &limits, std::size_t systemLimit);

/// The number of descriptors that the operating system lets this process open. It is raised before to the limit that
/// the deployment sets, as far as the system allows.
std::size_t raiseDescriptorLimit(const settings::ProcessLimits &limits);

} // namespace ibisfork::gateway
