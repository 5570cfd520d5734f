#include "gateway/peeranswer.h"

#include "gateway/forwardheaders.h"
#include "http/status.h"

namespace ibisfork::gateway {

namespace {

PeerAnswer classifyRefusal(RefusalScope scope)
{
    switch (scope) {
    case RefusalScope::Request:
        return PeerAnswer::Unreachable;
    case RefusalScope::Service:
        return PeerAnswer::NoPath;
    case RefusalScope::Node:
        return PeerAnswer::TakesNothing;
    }
    return PeerAnswer::NoPath;
}

PeerAnswer classifyUnsigned(int status)
{
    switch (status) {
    case http::status::unauthorized:
    case http::status::notFound:
    case http::status::bodyTooLarge:
    case http::status::headTooLarge:
        // The forwarding node has admitted the request, so a node that does not has another configuration.
        return PeerAnswer::OtherConfiguration;
    case http::status::unavailable:
    case http::status::tooManyRequests:
        return PeerAnswer::NotRun;
    case http::status::gatewayTimeout:
        return PeerAnswer::OutOfTime;
    default:
        return PeerAnswer::Failed;
    }
}

} // namespace

PeerAnswer classifyPeerAnswer(const EngineAnswer &answer, const http::HeaderList &headers)
{
    if (const auto scope = readForwardRefusal(headers)) {
        return classifyRefusal(*scope);
    }
    if (answer.isStream()) {
        return PeerAnswer::Stream;
    }
    return answer.isSigned ? PeerAnswer::Signed : classifyUnsigned(answer.status);
}

} // namespace ibisfork::gateway
