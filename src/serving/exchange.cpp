#include "serving/exchange.h"

#include <fmt/format.h>

#include <ibisfork/base/log.h>

namespace ibisfork::serving {

using base::LogLevel;
using base::LogLine;
using caller::RefusalCode;
using caller::RunState;

namespace {

constexpr std::size_t maxAttempts = 2;
constexpr int retryAfterSeconds = 1;

std::string leftOutText(const std::vector<routing::LeftOut> &leftOut)
{
    std::string text;
    for (const auto &candidate : leftOut) {
        text += fmt::format("{}{}:{}",
                            text.empty() ? "" : ",",
                            candidate.candidate,
                            base::nameOf(routing::leftOutReasonNames, candidate.reason));
    }
    return text;
}

} // namespace

Exchange::Exchange(Context &context,
                   std::string requestId,
                   std::string workspace,
                   ChatRequest request,
                   std::shared_ptr<net::HttpReply> reply,
                   base::Duration deadline,
                   std::function<void()> done)
    : m_context(context)
    , m_requestId(std::move(requestId))
    , m_workspace(std::move(workspace))
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_done(std::move(done))
    , m_answer(*m_reply, m_requestId, m_request.stream)
    , m_deadline(context.base, [this] { onDeadline(); })
    , m_deadlineAfter(deadline)
    , m_startedAt(base::monotonicNow())
{ }

Exchange::~Exchange()
{
    release();
}

void Exchange::start()
{
    m_reply->onGone([this] { onGone(); });
    m_deadline.startOnce(m_deadlineAfter);
    dispatch();
}

void Exchange::dispatch()
{
    // Checked before every dispatch, since the process may have been paused since the last one.
    const auto now = base::monotonicNow();
    if (!m_context.confirmed(now)) {
        refuse(RefusalCode::Unconfirmed,
               m_mayHaveRun ? RunState::Unknown : RunState::NotRun,
               "this node can't confirm that its configuration is the newest",
               retryAfterSeconds);
        return;
    }
    const auto view = m_context.view;
    const auto workspace = view->config->workspaces.find(m_workspace);
    if (workspace == view->config->workspaces.end()) {
        refuse(RefusalCode::BadKey, RunState::NotRun, "the workspace no longer exists", 0);
        return;
    }
    routing::RoutingQuery query;
    query.workspace = &workspace->second;
    query.model = m_request.model;
    query.tried = m_tried;
    query.failureDomain = m_context.settings.node.failureDomain;
    const auto decision = view->router.choose(query, [&](const std::string &upstream) {
        return routing::UpstreamRoom{m_context.limits.free(upstream, now), m_context.limits.running(upstream)};
    });
    logDecision(decision);
    if (!decision.version) {
        refuse(RefusalCode::NoUpstream,
               m_mayHaveRun ? RunState::Unknown : RunState::NotRun,
               "no permitted version has an upstream with room",
               retryAfterSeconds);
        return;
    }
    send(decision);
}

void Exchange::send(const routing::RoutingDecision &decision)
{
    m_upstream = decision.upstream;
    m_version = decision.version->text();
    m_tried.push_back(m_upstream);
    m_context.limits.started(m_upstream);

    upstream::EngineStreamHandlers handlers;
    handlers.greeting = [this](const upstream::EngineGreeting &greeting) {
        m_incarnation = greeting.incarnation;
        m_context.limits.sawIncarnation(m_upstream, greeting.incarnation, base::monotonicNow());
    };
    handlers.token = [this](std::uint64_t, const std::string &text) {
        onToken(text);
    };
    handlers.end = [this](const upstream::EngineUsage &usage) {
        onEnd(usage);
    };
    handlers.failed = [this](const upstream::EngineFailure &failure) {
        onFailed(failure);
    };
    const auto &address = m_context.view->config->upstreams.at(m_upstream).address;
    m_stream = upstream::EngineStream::start(m_context.base,
                                             net::Address::parse(address),
                                             {m_requestId, engineBody(m_request, m_version), 1},
                                             m_context.settings.timing.upstreamSilence,
                                             std::move(handlers));
}

void Exchange::onToken(const std::string &text)
{
    if (!m_answering) {
        m_answering = true;
        m_context.metrics.histogram("ibisfork_first_token_seconds")
            .observe(base::toSeconds(base::monotonicNow() - m_startedAt));
        net::HttpHeaders headers;
        headers.add("X-Request-Id", m_requestId);
        m_answer.begin(m_version, headers);
    }
    m_answer.piece(text);
}

void Exchange::onEnd(const upstream::EngineUsage &usage)
{
    m_answer.finish(usage);
    m_context.metrics.counter("ibisfork_requests_total", {{"outcome", "answered"}}).add();
    finish();
}

void Exchange::onFailed(const upstream::EngineFailure &failure)
{
    LogLine(LogLevel::Warning, "upstream-failed")
        .field("request", m_requestId)
        .field("upstream", m_upstream)
        .field("status", failure.status);
    const bool ran
        = failure.kind == upstream::EngineFailureKind::Lost || failure.kind == upstream::EngineFailureKind::Malformed;
    m_mayHaveRun = m_mayHaveRun || ran;
    if (ran) {
        m_context.limits.sawColdStart(m_upstream, base::monotonicNow());
    }
    release();
    if (m_reply->started()) {
        m_context.metrics.counter("ibisfork_requests_total", {{"outcome", "cut"}}).add();
        m_reply->abort();
        finish();
        return;
    }
    if (m_tried.size() < maxAttempts) {
        dispatch();
        return;
    }
    refuse(RefusalCode::UpstreamFailed,
           m_mayHaveRun ? RunState::Unknown : RunState::NotRun,
           "the upstreams that were tried failed",
           retryAfterSeconds);
}

void Exchange::onGone()
{
    m_context.metrics.counter("ibisfork_requests_total", {{"outcome", "caller-gone"}}).add();
    m_reply->abort();
    finish();
}

void Exchange::onDeadline()
{
    if (m_reply->started()) {
        m_reply->abort();
        finish();
        return;
    }
    const bool mayRun = m_mayHaveRun || m_stream != nullptr;
    refuse(RefusalCode::DeadlinePassed, mayRun ? RunState::Unknown : RunState::NotRun, "the deadline passed", 0);
}

void Exchange::refuse(RefusalCode code, RunState run, const std::string &message, int retryAfter)
{
    LogLine(LogLevel::Info, "refuse")
        .field("request", m_requestId)
        .field("workspace", m_workspace)
        .field("code", caller::nameOf(code))
        .field("run", base::nameOf(caller::runStateNames, run));
    m_context.metrics.counter("ibisfork_requests_total", {{"outcome", "refused"}}).add();
    net::HttpHeaders headers;
    headers.add("X-Request-Id", m_requestId);
    caller::sendRefusal(*m_reply, {code, run, message, retryAfter}, headers);
    finish();
}

void Exchange::logDecision(const routing::RoutingDecision &decision)
{
    const auto version = decision.version ? decision.version->text() : std::string("none");
    const auto revision = m_context.view->config->revision;
    const auto leftOut = leftOutText(decision.leftOut);
    LogLine(LogLevel::Info, "route")
        .field("request", m_requestId)
        .field("workspace", m_workspace)
        .field("version", version)
        .field("upstream", decision.upstream)
        .field("revision", revision)
        .field("left_out", leftOut);
    m_context.decisions.add(m_requestId,
                            fmt::format("workspace={} version={} upstream={} revision={} left_out={}",
                                        m_workspace,
                                        version,
                                        decision.upstream,
                                        revision,
                                        leftOut));
}

void Exchange::release()
{
    m_stream.reset();
    if (!m_upstream.empty()) {
        m_context.limits.ended(std::exchange(m_upstream, {}));
    }
}

void Exchange::finish()
{
    release();
    m_deadline.stop();
    // The owner destroys this object in the callback.
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done();
    }
}

} // namespace ibisfork::serving
