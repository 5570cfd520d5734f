#pragma once

#include <optional>
#include <string>

#include "gateway/engine.h"
#include "http/message.h"

namespace ibisfork::gateway {

/// What a node tells another one along with a request that it forwards.
struct ForwardState
{
    /// Runs that are left to the request; at least 1.
    unsigned runsLeft = 1;
    /// The forwarding node has counted the request in its resend budget.
    bool isCounted = false;
};

void addForwardState(http::HeaderList &headers, const ForwardState &state);
/// Returns nullopt if the headers are missing or invalid.
std::optional<ForwardState> readForwardState(const http::HeaderList &headers);

/// What a node that refuses a forwarded request would refuse as well.
enum class RefusalScope {
    Request, ///< Nothing for certain: engines that this request was to go to could not be reached.
    Service, ///< All requests of the same service: it has no path to the engines.
    Node, ///< All requests.
};

/// Marks an answer that tells the forwarding node to try another one: the request has not run here and will not.
/// @p service: that of the request here; the forwarding node may have drawn another one, or have another configuration.
void addForwardRefusal(http::HeaderList &headers, RefusalScope scope, const std::string &service);
/// Returns nullopt if the answer is none. Earlier builds don't say the scope; it is the service then.
std::optional<RefusalScope> readForwardRefusal(const http::HeaderList &headers);
/// The service that a refusal concerns; nullopt if it doesn't say.
std::optional<std::string> readRefusedService(const http::HeaderList &headers);

/// Tells the forwarding node how many runs the request has used here, up to this answer or its beginning.
void addRunsUsed(http::HeaderList &headers, unsigned runs);
/// Returns nullopt if the header is missing or invalid; earlier builds don't send it.
std::optional<unsigned> readRunsUsed(const http::HeaderList &headers);

/// Names the engine that has said in the forwarded answer that it leaves.
void addLeavingEngine(http::HeaderList &headers, const EngineProcess &engine);
/// Returns nullopt if the header is missing or invalid.
std::optional<EngineProcess> readLeavingEngine(const http::HeaderList &headers);

/// Removes all headers that concern two nodes only: the above, and what other builds may add.
http::HeaderList withoutForwardHeaders(const http::HeaderList &headers);

} // namespace ibisfork::gateway
