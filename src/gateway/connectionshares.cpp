#include "gateway/connectionshares.h"

#include <sys/resource.h>

#include <algorithm>

#include "gateway/eventlog.h"

namespace ibisfork::gateway {

namespace {

/// Descriptors within the deployment's limit that sockets may not use, or, where the limit is low, this part of it.
constexpr std::size_t filesReserve = 200;
constexpr std::size_t filesPart = 4;
/// Standard streams, the event loop, its signals, and a file that is read.
constexpr std::size_t ownDescriptors = 16;

/// Parts of all sockets, in 32nds. The rest is for engines: each request in progress needs a connection to one besides
/// that of its caller or of the node that forwards it.
constexpr std::size_t wholeParts = 32;
constexpr std::size_t callerParts = 10;
constexpr std::size_t refusedParts = 1;
constexpr std::size_t forwardedParts = 2;
constexpr std::size_t operatorsParts = 6;
constexpr std::size_t readinessParts = 1;
/// No port is closed to its clients altogether, however few descriptors there are.
constexpr std::size_t fewestConnections = 3;

std::size_t shareOf(std::size_t sockets, std::size_t parts)
{
    return std::max(fewestConnections, sockets * parts / wholeParts);
}

std::size_t without(std::size_t limit, std::size_t reserve)
{
    return limit - std::min(limit, reserve);
}

} // namespace

ConnectionShares connectionShares(const settings::ProcessLimits &limits, std::size_t systemLimit)
{
    auto sockets = without(systemLimit, ownDescriptors);
    if (limits.descriptors) {
        const auto reserve = std::min(filesReserve, *limits.descriptors / filesPart);
        sockets = std::min(sockets, without(*limits.descriptors, reserve));
    }
    return {{shareOf(sockets, callerParts), shareOf(sockets, refusedParts)},
            {shareOf(sockets, forwardedParts), 0},
            {shareOf(sockets, operatorsParts), 0},
            {shareOf(sockets, readinessParts), 0, true}};
}

std::size_t raiseDescriptorLimit(const settings::ProcessLimits &limits)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return ConnectionShare().served;
    }
    const auto wanted = std::min<rlim_t>(limits.descriptors.value_or(0), limit.rlim_max);
    if (wanted > limit.rlim_cur) {
        const rlimit raised{wanted, limit.rlim_max};
        if (setrlimit(RLIMIT_NOFILE, &raised) == 0) {
            limit = raised;
        } else {
            EventLog::state("descriptor_limit_stays").field("limit", limit.rlim_cur).field("wanted", wanted);
        }
    }
    return std::min<rlim_t>(limit.rlim_cur, ConnectionShare().served);
}

} // namespace ibisfork::gateway
