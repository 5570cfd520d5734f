#include "serving/serviceexchange.h"

#include <algorithm>

#include <strings.h>

#include <fmt/format.h>

#include <ibisfork/base/log.h>

namespace ibisfork::serving {

using base::LogLevel;
using base::LogLine;
using caller::RefusalCode;
using caller::RunState;

namespace {

constexpr const char *servicesPrefix = "/v1/services/";
constexpr std::size_t maxAttempts = 2;
constexpr int retryAfterSeconds = 1;

/// The caller's headers without what is meant for this node: its key and the id that the node gives.
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

} // namespace

ServicePath servicePathOf(const std::string &path)
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

bool repeatable(net::HttpMethod method)
{
    // PUT and DELETE are idempotent by HTTP, but nothing proves that a service keeps to it.
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
    m_reply->onGone([this] { onGone(); });
    m_deadline.startOnce(m_request.deadline);
    dispatch();
}

void ServiceExchange::dispatch()
{
    // Checked before every dispatch, since the process may have been paused since the last one.
    const auto now = base::monotonicNow();
    if (!m_context.confirmed(now)) {
        refuse(RefusalCode::Unconfirmed,
               "this node can't confirm that its configuration is the newest",
               retryAfterSeconds);
        return;
    }
    const auto &workspaces = m_context.view->config->workspaces;
    const auto workspace = workspaces.find(m_request.workspace);
    const bool permitted = workspace != workspaces.end()
        && std::find(workspace->second.services.begin(), workspace->second.services.end(), m_request.service)
            != workspace->second.services.end();
    if (!permitted) {
        refuse(RefusalCode::NotPermitted, "the workspace may not use this service", 0);
        return;
    }
    const auto decision = m_context.view->router.chooseService(
        m_request.service, {m_tried, m_context.settings.node.failureDomain}, [&](const std::string &upstream) {
            return m_context.roomAt(upstream, now);
        });
    logDecision(decision);
    if (decision.upstream.empty()) {
        refuse(RefusalCode::NoUpstream, "no upstream of the service has room", retryAfterSeconds);
        return;
    }
    send(decision.upstream);
}

void ServiceExchange::send(const std::string &upstream)
{
    m_upstream = upstream;
    m_tried.push_back(upstream);
    m_context.limits.started(upstream);
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
    m_context.limits.sawColdStart(m_upstream, base::monotonicNow());
    release();
    const bool again = !m_mayHaveRun || repeatable(m_request.call.method);
    if (again && m_tried.size() < maxAttempts) {
        dispatch();
        return;
    }
    refuse(RefusalCode::UpstreamFailed, "the service gave no whole answer", m_mayHaveRun ? 0 : retryAfterSeconds);
}

void ServiceExchange::answer(const net::HttpResponse &response)
{
    auto headers = upstream::endToEndHeaders(response.head.headers);
    headers.add("X-Request-Id", m_requestId);
    const auto length = response.head.headers.find("Content-Length");
    if (m_request.call.method == net::HttpMethod::Head && length) {
        headers.add("Content-Length", *length);
    }
    m_reply->send(response.head.status, headers, response.body);
    finish("answered");
}

void ServiceExchange::onGone()
{
    m_reply->abort();
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
        m_context.limits.ended(std::exchange(m_upstream, {}));
    }
}

void ServiceExchange::finish(const char *outcome)
{
    m_context.metrics.counter("ibisfork_service_calls_total", {{"outcome", outcome}}).add();
    release();
    m_deadline.stop();
    // The owner destroys this object in the callback.
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done();
    }
}

} // namespace ibisfork::serving
