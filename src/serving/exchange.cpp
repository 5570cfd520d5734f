#include "serving/exchange.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include <ibisfork/base/log.h>

#include "net/deletelater.h"

namespace ibisfork::serving {

using base::LogLevel;
using base::LogLine;
using caller::RefusalCode;
using caller::RunState;
using ledger::BillOutcome;

namespace {

constexpr std::size_t maxAttempts = 2;
/// Interval for checking whether the node has caught up with a newer revision.
constexpr std::chrono::milliseconds catchUpCheckInterval{10};
constexpr std::chrono::milliseconds maxRetryDelay{20};
/// Time without requests to an upstream that failed, so that they don't all try the same dead upstream in turn.
constexpr std::chrono::milliseconds failureCooldown{1000};

/// Random, so that the requests of a failed upstream don't reach the others in one burst.
base::Duration retryDelay()
{
    thread_local std::mt19937 random{std::random_device{}()};
    const auto most = base::Duration(maxRetryDelay).count();
    return base::Duration(std::uniform_int_distribution<base::Duration::rep>(0, most)(random));
}

std::string excludedText(const std::vector<routing::ExcludedCandidate> &leftOut)
{
    std::string text;
    for (const auto &candidate : leftOut) {
        text += fmt::format("{}{}:{}",
                            text.empty() ? "" : ",",
                            candidate.candidate,
                            base::nameOf(routing::exclusionReasonNames, candidate.reason));
    }
    return text;
}

} // namespace

Exchange::Exchange(Context &context,
                   ExchangeRequest request,
                   std::shared_ptr<net::HttpReply> reply,
                   std::function<void()> done)
    : m_context(context)
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_done(std::move(done))
    , m_responseWriter(*m_reply, m_request.id, m_request.chat.stream)
    , m_backPressure(context.base,
                     *m_reply,
                     context.settings.limits.maxStreamBuffer,
                     [this](bool paused) { paused ? m_run->pauseReading() : m_run->resumeReading(); })
    , m_deadline(context.base, [this] { onDeadline(); })
    , m_retryTimer(context.base, [this] { guarded([this] { dispatch(); }); })
    , m_startedAt(base::monotonicNow())
    , m_fingerprint(fingerprintOf(m_request.workspace, m_request.chat.body))
    , m_bill(m_request.id, m_request.workspace, context.settings.node.name)
{ }

Exchange::~Exchange()
{
    *m_alive = false;
    m_context.admission.remove(m_request.id);
    release();
}

void Exchange::start()
{
    m_reply->onGone([this] { onCallerDisconnected(); });
    m_deadline.startOnce(m_request.deadline);
    m_context.retries.countFirstAttempt(m_request.workspace);
    guarded([this] { dispatch(); });
}

template<typename Step>
void Exchange::guarded(Step step)
{
    const auto alive = m_alive;
    try {
        step();
    } catch (const std::exception &error) {
        LogLine(LogLevel::Error, "request-failed").field("error", error.what());
        if (*alive) {
            refuse(RefusalCode::Internal, "the request failed inside this node", 0);
        }
    }
}

void Exchange::dispatch()
{
    // The confirmation is checked before every dispatch, since it may have expired while the process was paused.
    const auto now = base::monotonicNow();
    const bool confirmed = m_context.confirmed(now);
    if (!confirmed && m_context.isCatchingUp(now)) {
        // A request in the admission queue is dispatched again by the queue.
        if (!m_waiting) {
            m_retryTimer.startOnce(catchUpCheckInterval);
        }
        return;
    }
    if (!confirmed) {
        refuse(RefusalCode::Unconfirmed,
               "this node can't confirm that its configuration is the newest",
               caller::shortRetryAfterSeconds);
        return;
    }
    const auto view = m_context.view;
    const auto workspace = view->config->workspaces.find(m_request.workspace);
    if (workspace == view->config->workspaces.end()) {
        refuse(RefusalCode::BadKey, "the workspace no longer exists", 0);
        return;
    }
    if (m_context.poison.isPoison(m_fingerprint)) {
        refuse(RefusalCode::Poison, fmt::format("this request crashes engines; its id is {}", m_fingerprint), 0);
        return;
    }
    route(workspace->second);
}

bool Exchange::resolveSession(const fleet::Workspace &workspace)
{
    auto &session = m_request.session;
    if (!session || !session->version) {
        return true;
    }
    const auto &model = m_request.chat.model;
    if (!model.empty() && model != session->version->model && model != session->version->text()) {
        refuse(RefusalCode::BadSession, "the session holds another model", 0);
        return false;
    }
    const auto &versions = m_context.view->config->versions;
    const auto version = versions.find(*session->version);
    const auto &permitted = workspace.versions;
    if (version != versions.end() && version->second.state != fleet::VersionState::Withdrawn
        && std::find(permitted.begin(), permitted.end(), version->first) != permitted.end()) {
        return true;
    }
    if (workspace.rules.withdrawnSession == fleet::WithdrawnSessionRule::End) {
        refuse(RefusalCode::VersionWithdrawn, "the session's version is withdrawn, and the session has ended", 0);
        return false;
    }
    session->version.reset();
    // Drops a version pinned in the model name ("model@version"), which would keep the session on the withdrawn
    // version.
    m_request.chat.model = model.substr(0, model.find('@'));
    return true;
}

void Exchange::route(const fleet::Workspace &workspace)
{
    if (!resolveSession(workspace)) {
        return;
    }
    if (!m_waiting && m_triedUpstreams.empty()
        && m_context.admission.queue().hasWaiting(workspace.name, m_request.chat.model)) {
        waitForCapacity(workspace);
        return;
    }
    const auto decision = choose(queryFor(workspace));
    const bool full = !decision.version && m_triedUpstreams.empty() && decision.lacksCapacity();
    if (full && m_waiting) {
        return;
    }
    logDecision(decision);
    if (full) {
        waitForCapacity(workspace);
        return;
    }
    if (!decision.version && !m_triedUpstreams.empty()) {
        refuse(RefusalCode::UpstreamFailed,
               "the upstream that was tried failed and no other has room",
               caller::shortRetryAfterSeconds);
        return;
    }
    if (!decision.version) {
        refuse(
            RefusalCode::NoUpstream, "no permitted version has an upstream with room", caller::shortRetryAfterSeconds);
        return;
    }
    m_waiting = false;
    m_context.admission.recordStart(workspace.name, workspace.rules.share);
    send(decision);
}

void Exchange::waitForCapacity(const fleet::Workspace &workspace)
{
    m_waiting = true;
    admission::WaitingHandlers handlers;
    handlers.dispatch = [this, alive = m_alive] {
        guarded([this] { dispatch(); });
        return !*alive || !m_waiting;
    };
    handlers.refuse = [this](base::Duration retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        refuse(RefusalCode::Overloaded,
               "the request would not be served before its deadline",
               std::max(caller::shortRetryAfterSeconds, static_cast<int>(seconds)));
    };
    const admission::WaitingRequest request{m_request.id,
                                            workspace.name,
                                            m_request.chat.model,
                                            workspace.rules.share,
                                            m_request.priority,
                                            m_startedAt + m_request.deadline};
    m_context.admission.wait(request, std::move(handlers));
}

void Exchange::send(const routing::RoutingDecision &decision)
{
    const auto address = net::Address::parse(m_context.view->config->upstreams.at(decision.upstream).address);
    m_version = decision.version->text();
    const auto body = engineBody(m_request.chat, m_version);
    m_upstream = decision.upstream;
    m_context.rollouts.recordDispatch(*decision.version);
    m_sentAt = base::monotonicNow();
    m_triedUpstreams.push_back(m_upstream);
    m_context.limits.recordStart(m_upstream);
    m_context.poison.recordStart(m_upstream, m_request.id, m_fingerprint);
    m_bill.sent(m_version, m_upstream, m_context.view->config->versions.at(*decision.version).costPerRequest);
    m_run = std::make_unique<EngineRun>(
        m_context.base,
        m_context.canceller,
        address,
        upstream::EngineRequest{m_request.id, body, m_request.priority},
        EngineRunTiming{m_context.upstreamTimeouts(), m_context.settings.timing.upstreamCheck},
        m_context.incarnations[m_upstream],
        runHandlers());
}

EngineRunHandlers Exchange::runHandlers()
{
    EngineRunHandlers handlers;
    handlers.greeting = [this](const std::string &incarnation) {
        m_context.incarnations[m_upstream] = incarnation;
        m_context.limits.recordIncarnation(m_upstream, incarnation, base::monotonicNow());
    };
    handlers.connectionLost = [this] {
        m_context.limits.recordConnectionLost(m_upstream, base::monotonicNow());
    };
    handlers.token = [this](const std::string &text) {
        guarded([&] { onToken(text); });
    };
    handlers.end = [this](const upstream::EngineUsage &usage) {
        guarded([&] { onEnd(usage); });
    };
    handlers.failed = [this](const RunFailure &failure) {
        guarded([&] { onFailed(failure); });
    };
    return handlers;
}

void Exchange::onToken(const std::string &text)
{
    ++m_receivedTokens;
    m_bill.piece();
    if (!m_firstTokenReceived) {
        m_firstTokenReceived = true;
        m_context.rollouts.recordFirstToken(m_version, base::monotonicNow() - m_sentAt);
        m_context.metrics.histogram("ibisfork_first_token_seconds")
            .observe(base::toSeconds(base::monotonicNow() - m_startedAt));
        m_responseWriter.begin(m_version, answerHeaders());
    }
    m_responseWriter.write(text);
    if (!m_request.chat.stream) {
        m_text += text;
    }
    m_backPressure.onWritten();
}

net::HttpHeaders Exchange::answerHeaders()
{
    net::HttpHeaders headers;
    headers.add("X-Request-Id", m_request.id);
    headers.add("X-Version", m_version);
    const auto *key = signingKey(m_context.view->config->sessionKeys);
    if (m_request.session && key != nullptr) {
        auto session = *m_request.session;
        session.version = fleet::VersionId::parse(m_version);
        extendSession(session, wallNow());
        headers.add("X-Session", signSession(session, *key));
    }
    return headers;
}

void Exchange::onEnd(const upstream::EngineUsage &usage)
{
    if (usage.completionTokens != m_receivedTokens) {
        // The engine's token count differs from the number of tokens received, so the answer is incomplete.
        onFailed({RunFailureKind::Unknown, 0});
        return;
    }
    m_context.rollouts.recordAnswer(m_version);
    m_context.poison.recordAnswer(m_fingerprint);
    m_bill.counted(usage.promptTokens, usage.completionTokens);
    if (!escalate(usage)) {
        deliver(usage);
    }
}

void Exchange::deliver(const upstream::EngineUsage &usage)
{
    m_deadline.stop();
    record(BillOutcome::Answered, [this, usage, alive = m_alive] {
        if (*alive) {
            m_responseWriter.finish(usage);
            countOutcome("answered");
            finish();
        }
    });
}

void Exchange::onFailed(const RunFailure &failure)
{
    LogLine(LogLevel::Warning, "upstream-failed")
        .field("request", m_request.id)
        .field("upstream", m_upstream)
        .field("kind", base::nameOf(runFailureKindNames, failure.kind))
        .field("status", failure.status);
    if (failure.kind != RunFailureKind::NotRun && failure.kind != RunFailureKind::Rejected) {
        m_mayHaveRun = true;
        m_context.rollouts.recordFailure(m_version, failure.kind == RunFailureKind::Crashed);
    } else {
        m_bill.notRun();
    }
    if (failure.kind == RunFailureKind::Crashed) {
        m_context.limits.recordColdStart(m_upstream, base::monotonicNow());
        m_context.poison.recordCrash(m_request.id);
    }
    const bool silent = failure.kind == RunFailureKind::NotRun || failure.kind == RunFailureKind::Unknown;
    const bool unreachable = silent && failure.status == 0;
    if (unreachable || failure.kind == RunFailureKind::Crashed) {
        m_context.cooldownUntil[m_upstream] = base::monotonicNow() + failureCooldown;
    }
    release();
    if (m_reply->started()) {
        abortResponse();
    } else if (failure.kind == RunFailureKind::Rejected) {
        refuse(RefusalCode::BadRequest, fmt::format("the engine refused the request with {}", failure.status), 0);
    } else {
        retry();
    }
}

void Exchange::retry()
{
    if (m_triedUpstreams.size() >= maxAttempts || !m_context.retries.consume(m_request.workspace)) {
        refuse(RefusalCode::UpstreamFailed, "the upstreams that were tried failed", caller::shortRetryAfterSeconds);
        return;
    }
    m_context.metrics.counter("ibisfork_retries_total").add();
    m_firstTokenReceived = false;
    m_receivedTokens = 0;
    m_text.clear();
    m_retryTimer.startOnce(retryDelay());
}

void Exchange::logDecision(const routing::RoutingDecision &decision)
{
    const auto version = decision.version ? decision.version->text() : std::string("none");
    const auto revision = m_context.view->config->revision;
    const auto leftOut = excludedText(decision.excluded);
    LogLine(LogLevel::Info, "route")
        .field("request", m_request.id)
        .field("workspace", m_request.workspace)
        .field("version", version)
        .field("upstream", decision.upstream)
        .field("revision", revision)
        .field("left_out", leftOut);
    m_context.decisions.add(m_request.id,
                            fmt::format("workspace={} version={} upstream={} revision={} left_out={}",
                                        m_request.workspace,
                                        version,
                                        decision.upstream,
                                        revision,
                                        leftOut));
}

} // namespace ibisfork::serving
