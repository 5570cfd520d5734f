#include "serving/serviceexchange.h"

#include <algorithm>

#include <strings.h>

#include <fmt/format.h>

#include <ibisfork/base/log.h>
#include <ibisfork/fleet/digest.h>

namespace ibisfork::serving {

using base::LogLevel;
using base::LogLine;
using caller::RefusalCode;
using caller::RunState;

namespace {

constexpr const char *servicesPrefix = "/v1/services/";
constexpr std::size_t maxAttempts = 2;
constexpr std::size_t maxIdempotencyKeyLength = 200;
/// Size limit in bytes of responses recorded for replay. A larger response is not recorded, and a repeated call with
/// its key is told that the outcome is unknown.
constexpr std::size_t maxRecordedBodyBytes = 64UL * 1024;

/// The caller's end-to-end headers, without the bearer key, which is for this node, and with this node's request id.
net::HttpHeaders headersForService(const net::HttpHeaders &headers, const std::string &requestId)
{
    const auto passed = upstream::endToEndHeaders(headers);
    net::HttpHeaders out;
    for (const auto &[name, value] : passed.fields()) {
        if (strcasecmp(name.c_str(), "Authorization") != 0 && strcasecmp(name.c_str(), "X-Request-Id") != 0) {
            out.add(name, value);
        }
    }
    out.add("X-Request-Id", requestId);
    return out;
}

bool isValidIdempotencyKey(const std::string &key)
{
    return !key.empty() && key.size() <= maxIdempotencyKeyLength
        && std::all_of(key.begin(), key.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
}

/// SHA-256 of the call, to detect that an idempotency key is reused for a different call.
std::string callDigest(const ServiceRequest &request)
{
    const auto method = static_cast<int>(request.call.method);
    return fleet::sha256Hex(fmt::format("{} {}{}\n{}", method, request.service, request.call.path, request.call.body));
}

} // namespace

ServicePath parseServicePath(const std::string &path)
{
    const std::string prefix = servicesPrefix;
    if (!path.starts_with(prefix)) {
        return {};
    }
    const auto rest = path.substr(prefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const auto behind = rest.substr(end);
    return {rest.substr(0, end), behind.starts_with('/') ? behind : "/" + behind};
}

bool isSafeMethod(net::HttpMethod method)
{
    // PUT and DELETE are idempotent according to HTTP, but a service need not comply.
    return method == net::HttpMethod::Get || method == net::HttpMethod::Head || method == net::HttpMethod::Options;
}

ServiceExchange::ServiceExchange(Context &context,
                                 std::string requestId,
                                 ServiceRequest request,
                                 std::shared_ptr<net::HttpReply> reply,
                                 std::function<void()> done)
    : m_context(context)
    , m_requestId(std::move(requestId))
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_done(std::move(done))
    , m_deadline(context.base, [this] { onDeadline(); })
{ }

ServiceExchange::~ServiceExchange()
{
    release();
}

void ServiceExchange::start()
{
    m_reply->onGone([this] { onCallerDisconnected(); });
    m_deadline.startOnce(m_request.deadline);
    const auto key = m_request.call.headers.find("Idempotency-Key");
    if (key && !isSafeMethod(m_request.call.method)) {
        requestClaim(*key);
    } else {
        dispatch();
    }
}

bool ServiceExchange::permitted() const
{
    const auto &workspaces = m_context.view->config->workspaces;
    const auto workspace = workspaces.find(m_request.workspace);
    if (workspace == workspaces.end()) {
        return false;
    }
    const auto &services = workspace->second.services;
    return std::find(services.begin(), services.end(), m_request.service) != services.end();
}

void ServiceExchange::requestClaim(const std::string &key)
{
    if (!permitted()) {
        refuse(RefusalCode::NotPermitted, "the workspace may not use this service", 0);
        return;
    }
    if (!isValidIdempotencyKey(key)) {
        refuse(RefusalCode::BadRequest, "Idempotency-Key must be 1 to 200 visible ASCII characters", 0);
        return;
    }
    m_claim = {m_request.workspace, key, callDigest(m_request)};
    m_claimToken
        = m_context.claims->take(m_claim, [this](const ledger::ClaimAnswer &answer) { onClaimAnswer(answer); });
}

void ServiceExchange::onClaimAnswer(const ledger::ClaimAnswer &answer)
{
    const auto *result = std::get_if<coord::ClaimResult>(&answer);
    if (result != nullptr && result->verdict == coord::ClaimVerdict::Granted) {
        dispatch();
        return;
    }
    m_claimToken.clear();
    if (result == nullptr) {
        refuse(RefusalCode::ClaimsUnavailable, "the call can't be claimed now", caller::shortRetryAfterSeconds);
    } else if (result->verdict == coord::ClaimVerdict::Answered) {
        replay(*result->answer);
    } else if (result->verdict == coord::ClaimVerdict::KeyConflict) {
        refuse(RefusalCode::KeyReused, "another call was made under this Idempotency-Key", 0);
    } else {
        m_mayHaveRun = true;
        refuse(RefusalCode::InProgress,
               "a call with this key runs or its outcome is not known; ask again later or check at the service",
               caller::shortRetryAfterSeconds);
    }
}

void ServiceExchange::replay(const coord::RecordedAnswer &answer)
{
    net::HttpHeaders headers;
    headers.add("X-Request-Id", m_requestId);
    headers.add("Idempotent-Replayed", "true");
    if (!answer.contentType.empty()) {
        headers.add("Content-Type", answer.contentType);
    }
    m_reply->send(answer.status, headers, answer.body);
    finish("replayed");
}

void ServiceExchange::settleClaim(const net::HttpResponse &response)
{
    const auto token = std::exchange(m_claimToken, {});
    if (!token.empty() && response.body.size() <= maxRecordedBodyBytes) {
        const auto contentType = response.head.headers.find("Content-Type").value_or("");
        m_context.claims->settle(m_claim, token, {response.head.status, contentType, response.body});
    }
}

void ServiceExchange::releaseClaim()
{
    const auto token = std::exchange(m_claimToken, {});
    // If the call may have been executed, the claim is kept: it marks the outcome as unknown and prevents a second run.
    if (!token.empty() && !m_mayHaveRun) {
        m_context.claims->release(m_claim, token);
    }
}

void ServiceExchange::dispatch()
{
    // The confirmation is checked before every dispatch, since it may have expired while the process was paused.
    const auto now = base::monotonicNow();
    if (!m_context.confirmed(now)) {
        refuse(RefusalCode::Unconfirmed,
               "this node can't confirm that its configuration is the newest",
               caller::shortRetryAfterSeconds);
        return;
    }
    if (!permitted()) {
        refuse(RefusalCode::NotPermitted, "the workspace may not use this service", 0);
        return;
    }
    const auto decision = m_context.view->router.chooseService(
        m_request.service, {m_triedUpstreams, m_context.settings.node.failureDomain}, [&](const std::string &upstream) {
            return m_context.capacityOf(upstream, now);
        });
    logDecision(decision);
    if (decision.upstream.empty() && !m_triedUpstreams.empty()) {
        refuse(RefusalCode::UpstreamFailed,
               "the upstream that was tried failed and no other has room",
               m_mayHaveRun ? 0 : caller::shortRetryAfterSeconds);
        return;
    }
    if (decision.upstream.empty()) {
        refuse(RefusalCode::NoUpstream, "no upstream of the service has room", caller::shortRetryAfterSeconds);
        return;
    }
    send(decision.upstream);
}

void ServiceExchange::send(const std::string &upstream)
{
    m_upstream = upstream;
    m_triedUpstreams.push_back(upstream);
    m_context.limits.recordStart(upstream);
    net::HttpRequest call = m_request.call;
    call.headers = headersForService(m_request.call.headers, m_requestId);
    const auto address = net::Address::parse(m_context.view->config->upstreams.at(upstream).address);
    const upstream::ServiceCallLimits limits{m_context.settings.timing.upstreamSilence};
    m_call = std::make_unique<upstream::ServiceCall>(
        m_context.base, address, std::move(call), limits, [this](const upstream::ServiceOutcome &outcome) {
            onOutcome(outcome);
        });
}

void ServiceExchange::onOutcome(const upstream::ServiceOutcome &outcome)
{
    if (const auto *failure = std::get_if<net::HttpFailure>(&outcome)) {
        onFailed(*failure);
        return;
    }
    answer(std::get<net::HttpResponse>(outcome));
}

void ServiceExchange::onFailed(const net::HttpFailure &failure)
{
    LogLine(LogLevel::Warning, "upstream-failed")
        .field("request", m_requestId)
        .field("upstream", m_upstream)
        .field("bytes_left", failure.bytesLeft);
    m_mayHaveRun = m_mayHaveRun || failure.bytesLeft;
    m_context.limits.recordColdStart(m_upstream, base::monotonicNow());
    release();
    const bool again = !m_mayHaveRun || isSafeMethod(m_request.call.method);
    if (again && m_triedUpstreams.size() < maxAttempts) {
        dispatch();
        return;
    }
    refuse(RefusalCode::UpstreamFailed,
           "the service gave no whole answer",
           m_mayHaveRun ? 0 : caller::shortRetryAfterSeconds);
}

void ServiceExchange::answer(const net::HttpResponse &response)
{
    settleClaim(response);
    if (m_callerDisconnected) {
        finish("answered-caller-gone");
        return;
    }
    auto headers = upstream::endToEndHeaders(response.head.headers);
    headers.add("X-Request-Id", m_requestId);
    const auto length = response.head.headers.find("Content-Length");
    if (m_request.call.method == net::HttpMethod::Head && length) {
        headers.add("Content-Length", *length);
    }
    m_reply->send(response.head.status, headers, response.body);
    finish("answered");
}

void ServiceExchange::onCallerDisconnected()
{
    m_mayHaveRun = m_mayHaveRun || (m_call && m_call->bytesLeft());
    m_reply->abort();
    if (m_mayHaveRun && m_call && !m_claimToken.empty()) {
        // The call continues, so that its response is recorded when the caller repeats the request.
        m_callerDisconnected = true;
        return;
    }
    finish("caller-gone");
}

void ServiceExchange::onDeadline()
{
    m_mayHaveRun = m_mayHaveRun || (m_call && m_call->bytesLeft());
    refuse(RefusalCode::DeadlinePassed, "the deadline passed", 0);
}

void ServiceExchange::refuse(RefusalCode code, const std::string &message, int retryAfter)
{
    const auto run = m_mayHaveRun ? RunState::Unknown : RunState::NotRun;
    LogLine(LogLevel::Info, "refuse")
        .field("request", m_requestId)
        .field("workspace", m_request.workspace)
        .field("service", m_request.service)
        .field("code", caller::nameOf(code))
        .field("run", base::nameOf(caller::runStateNames, run));
    if (m_callerDisconnected) {
        finish("caller-gone");
        return;
    }
    net::HttpHeaders headers;
    headers.add("X-Request-Id", m_requestId);
    caller::sendRefusal(*m_reply, {code, run, message, retryAfter}, headers);
    finish("refused");
}

void ServiceExchange::logDecision(const routing::RoutingDecision &decision)
{
    const auto revision = m_context.view->config->revision;
    LogLine(LogLevel::Info, "route")
        .field("request", m_requestId)
        .field("workspace", m_request.workspace)
        .field("service", m_request.service)
        .field("upstream", decision.upstream)
        .field("revision", revision);
    m_context.decisions.add(m_requestId,
                            fmt::format("workspace={} service={} upstream={} revision={}",
                                        m_request.workspace,
                                        m_request.service,
                                        decision.upstream,
                                        revision));
}

void ServiceExchange::release()
{
    m_call.reset();
    if (!m_upstream.empty()) {
        m_context.limits.recordEnd(std::exchange(m_upstream, {}));
    }
}

void ServiceExchange::finish(const char *outcome)
{
    m_context.metrics.counter("ibisfork_service_calls_total", {{"outcome", outcome}}).add();
    releaseClaim();
    release();
    m_deadline.stop();
    // The owner destroys this object in the callback.
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done();
    }
}

} // namespace ibisfork::serving
