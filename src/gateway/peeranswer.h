#pragma once

#include "gateway/call.h"

namespace ibisfork::gateway {

/// What the complete answer of a node says about the request that was forwarded to it.
enum class PeerAnswer {
    Unreachable, ///< The request has not run: engines of its service could not be reached from the node.
    NoPath, ///< The request has not run: the node does not reach the engines of its service.
    TakesNothing, ///< The request has not run: the node takes no requests.
    OtherConfiguration, ///< The request has not run: the configuration of the node does not allow it.
    NotRun, ///< The request has not run; the node or its engines take no more for the moment.
    Stream, ///< The stream, or what was missing of it.
    Signed, ///< A buffered answer, signed by the engine.
    OutOfTime, ///< The time that the node gives to the request has ended its run.
    Failed, ///< The request has failed, and may have used all runs that the node had.
};

/// @p answer was decoded from a head with @p headers.
PeerAnswer classifyPeerAnswer(const EngineAnswer &answer, const http::HeaderList &headers);

} // namespace ibisfork::gateway
