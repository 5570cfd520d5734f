#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller/refusal.h"
#include "net/httpserver.h"
#include "net/timer.h"
#include "serving/context.h"
#include "upstream/servicecall.h"

namespace ibisfork::serving {

/// A caller's request to a plain service.
struct ServiceRequest
{
    std::string workspace;
    std::string service;
    /// Method, path relative to the service, and the caller's headers and body.
    net::HttpRequest call;
    base::Duration deadline{};
};

/// The two parts of a request path /v1/services/NAME/PATH.
struct ServicePath
{
    std::string service;
    std::string path;
};
/// Splits @p path; the service is empty if the path does not start with /v1/services/.
ServicePath parseServicePath(const std::string &path);

/// Whether a call with @p method may be retried although the first attempt may have been executed.
bool isSafeMethod(net::HttpMethod method);

/// Handles one call of a plain service from the parsed request to the last byte of the response, including the claim of
/// its idempotency key and retries.
class ServiceExchange
{
public:
    /// @p done is called once, as the last step; the exchange may be destroyed from it.
    ServiceExchange(Context &context,
                    std::string requestId,
                    ServiceRequest request,
                    std::shared_ptr<net::HttpReply> reply,
                    std::function<void()> done);
    ~ServiceExchange();

    void start();

private:
    bool permitted() const;
    void requestClaim(const std::string &key);
    void onClaimAnswer(const ledger::ClaimAnswer &answer);
    void replay(const coord::RecordedAnswer &answer);
    void settleClaim(const net::HttpResponse &response);
    void releaseClaim();
    void dispatch();
    void send(const std::string &upstream);
    void onOutcome(const upstream::ServiceOutcome &outcome);
    void onFailed(const net::HttpFailure &failure);
    void answer(const net::HttpResponse &response);
    void onCallerDisconnected();
    void onDeadline();
    void refuse(caller::RefusalCode code, const std::string &message, int retryAfterSeconds);
    void logDecision(const routing::RoutingDecision &decision);
    void release();
    void finish(const char *outcome);

    Context &m_context;
    std::string m_requestId;
    ServiceRequest m_request;
    std::shared_ptr<net::HttpReply> m_reply;
    std::function<void()> m_done;
    net::Timer m_deadline;
    std::string m_upstream;
    std::vector<std::string> m_triedUpstreams;
    std::unique_ptr<upstream::ServiceCall> m_call;
    bool m_mayHaveRun = false;
    bool m_callerDisconnected = false;
    /// The claim that this call holds or has requested, and its token; the token is empty if there is no claim.
    ledger::ClaimRequest m_claim;
    std::string m_claimToken;
};

} // namespace ibisfork::serving
