#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/enginepause.h"
#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"
#include "gateway/hedge.h"
#include "http/status.h"
#include "net/guard.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

/// A new node loads its configuration within some tens of milliseconds if the store or another node answers.
constexpr std::chrono::milliseconds configurationTimeout{500};
constexpr std::chrono::milliseconds configurationPollInterval{20};
/// Deadline of a request that carries none.
constexpr std::chrono::milliseconds defaultTimeout{30000};
/// A request waits for an engine for at most the route's objective divided by this.
constexpr int waitDivisor = 4;
/// Below this many tokens, processing the prompt again costs no more than looking for an engine that has it cached.
constexpr std::uint32_t minSharedTokens = 300;
constexpr std::size_t maxIdlePeerConnections = 8;
/// Of the connections that an engine accepts from all nodes, at most one in this many may be idle.
constexpr unsigned idleConnectionsDivisor = 2;

std::string withoutPort(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

/// Tokens of the prompt parts that other requests may share: all but the last one.
std::uint64_t sharedTokensOf(const std::vector<PromptPart> &parts)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        tokens += parts[i].tokens;
    }
    return tokens;
}

/// The id of the last prompt part that other requests may share, which is the one before the last: the last part
/// belongs to this request alone. Empty if the shared parts together have so few tokens, @p shared, that it doesn't
/// matter.
std::string sharedPartOf(const std::vector<PromptPart> &parts, std::uint64_t shared)
{
    return shared >= minSharedTokens ? parts[parts.size() - 2].id : std::string();
}

} // namespace

Exchange::Exchange(Context &context,
                   http::CallerConnection &caller,
                   http::Request request,
                   RequestOrigin origin,
                   std::function<void()> done)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_origin(origin)
    , m_done(std::move(done))
    , m_configuration(context.view.configuration())
    , m_call(platform::decodeCall(m_request.head))
    , m_parts(partTraits(m_call.promptParts))
    , m_start(base::monotonicNow())
    , m_deadline(m_start + m_call.timeout.value_or(defaultTimeout))
    , m_timer(context.base,
              [this] {
                  if (!net::runGuarded("request", [this] { onTimer(); })) {
                      abort();
                  }
              })
    , m_hedgeTimer(context.base,
                   [this] {
                       if (!net::runGuarded("hedge", [this] { onHedgeTimer(); })) {
                           abort();
                       }
                   })
    , m_answerBody(context.memory)
    , m_eventHeld(context.memory)
{
    if (m_origin == RequestOrigin::Peer) {
        m_forwardState = readForwardState(m_request.head.headers);
        m_request.head.headers = withoutForwardHeaders(m_request.head.headers);
        m_isCounted = m_forwardState && m_forwardState->isCounted;
    }
}

Exchange::~Exchange()
{
    if (m_phase != Phase::Finished) {
        leaveQueue();
        m_context.slowCallers.remove(this);
    }
}

void Exchange::begin()
{
    m_configuration = m_context.view.configuration();
    m_awaitsConfiguration = !m_configuration || !m_context.view.enginesLoaded();
    if (m_awaitsConfiguration) {
        awaitConfiguration();
        return;
    }
    if (!admit()) {
        return;
    }
    m_deadline = std::min<base::TimePoint>(m_deadline, m_start + m_route->timeout);
    if (mayOutlastNode()) {
        refuseNotRun("node_stops", retryAfterFull, RefusalScope::Node);
        return;
    }
    std::uint32_t total = 0;
    for (const auto &share : m_route->services) {
        total += share.weight;
    }
    std::uniform_int_distribution<std::uint32_t> draw(1, std::max(1U, total));
    auto left = draw(m_context.random);
    for (const auto &share : m_route->services) {
        m_service = share.service;
        if (left <= share.weight) {
            break;
        }
        left -= share.weight;
    }
    const bool isSession = !m_call.session.empty();
    m_subject = isSession ? m_workspace + '/' + m_call.session : m_call.id;
    m_preference = m_context.view.rollouts().preferredVersion(m_service, m_subject, isSession, m_start);
    dispatch();
}

bool Exchange::mayOutlastNode() const
{
    if (!m_context.rejectsNewStreams) {
        return false;
    }
    if (m_route->repeatability == Repeatability::Stream) {
        return true;
    }
    const auto mayTakeUntil = m_start + m_route->objective + longestPause;
    return m_context.endsRequestsAt && std::min(m_deadline, mayTakeUntil) > *m_context.endsRequestsAt;
}

void Exchange::awaitConfiguration()
{
    const auto now = base::monotonicNow();
    const auto latest = std::min<base::TimePoint>(m_start + configurationTimeout, m_deadline - minAttemptTime);
    if (now >= latest) {
        refuseNotRun("no_configuration", retryAfterNoEngine, RefusalScope::Node);
        return;
    }
    m_retryAt = now + configurationPollInterval;
    arm();
}

bool Exchange::admit()
{
    m_route = m_configuration->findRoute(withoutPort(m_call.host), m_call.path);
    if (m_route == nullptr) {
        answerFailure(http::status::notFound, "no_route");
        return false;
    }
    m_priority = m_route->priority;
    if (!m_configuration->hasWorkspaces || m_route->isPublic) {
        return true;
    }
    const auto found = m_configuration->workspacesByKey.find(m_call.key);
    if (found == m_configuration->workspacesByKey.end()) {
        answerFailure(http::status::unauthorized, "unknown_key");
        return false;
    }
    m_workspace = found->second.name;
    m_priority = found->second.priority.value_or(m_route->priority);
    return true;
}

bool Exchange::repeatable() const
{
    return m_route->repeatability == Repeatability::Idempotent
        || (m_route->repeatability == Repeatability::Stream && m_route->resumable);
}

bool Exchange::mayRunAgain(bool currentMayRun) const
{
    return repeatable() || !(m_mayHaveRun || currentMayRun);
}

void Exchange::endUnsent(const std::string &target)
{
    EventLog::failure("second_run_prevented").field("id", m_call.id).field("target", target);
    m_context.metrics.counter("ibisfork_second_runs_prevented_total").add();
    failRequest("may_run_once");
}

unsigned Exchange::maxRuns() const
{
    return m_forwardState ? std::min(m_forwardState->runsLeft, m_route->maxUpstreams) : m_route->maxUpstreams;
}

base::Duration Exchange::coldPeriod() const
{
    const auto *service = m_configuration->findService(m_service);
    return service == nullptr ? base::Duration::zero() : base::Duration(service->coldPeriod);
}

void Exchange::dispatch()
{
    const auto now = base::monotonicNow();
    if (m_deadline - now < minAttemptTime) {
        failRequest("no_time_left");
        return;
    }
    if (isPoison()) {
        endPoison();
        return;
    }
    if (!m_engineVersion.empty()) {
        preferVersionForRetry();
    }
    if (seemsCutOff() && tryForward()) {
        return;
    }
    if (m_context.reach.isCutOff(m_service) && m_context.knowsForwardingPeers()) {
        // No other node reaches the engines either.
        waitOrFail("no_path");
        return;
    }
    if (m_unreachableEngines >= unreachableEnginesToForward && mayRefuseForwarded()) {
        refuseForwarded("no_path", RefusalScope::Request);
        return;
    }
    if (mustYield()) {
        awaitRoom();
        return;
    }
    const auto placement = place(now);
    if (placement.isFull) {
        awaitRoom();
    } else if (placement.engine == nullptr) {
        noEngine(placement);
    } else {
        send(*placement.engine, placement.details);
    }
}

void Exchange::preferVersionForRetry()
{
    // A rollout may have started since the first attempt; a retried request stays on its version.
    m_preference = m_context.view.rollouts().preferredRetryVersion(m_service, m_engineVersion);
}

Placement Exchange::place(base::TimePoint now)
{
    return place(now, m_tried);
}

Placement Exchange::place(base::TimePoint now, const std::vector<std::string> &tried)
{
    const auto *service = m_configuration->findService(m_service);
    const auto &bounds = m_context.settings.bounds;
    PlacementRequest request;
    request.promptTokens = m_call.promptTokens;
    request.sharedTokens = sharedTokensOf(m_call.promptParts);
    request.sharedPart = sharedPartOf(m_call.promptParts, request.sharedTokens);
    request.objective = m_route->objective;
    request.latency = m_context.view.engines().latencyOf(m_service);
    request.failureDomain = m_context.settings.node.failureDomain;
    request.node = m_context.settings.node.name;
    request.nodeNames = &m_context.view.nodeNames();
    request.tried = tried;
    request.nodes = m_context.view.nodes();
    request.nodesKnown = m_context.view.nodesKnown();
    request.room = roomLimit();
    request.coldRate = service == nullptr ? 0 : service->coldRate;
    request.coldBurst = request.coldRate * (bounds.coldFactor - 1) + bounds.coldTolerance;
    return m_context.placement.choose(m_context.view.usableEngines(m_service, m_preference), request, now);
}

void Exchange::noEngine(const Placement &placement)
{
    const auto latest = m_start + m_route->objective / waitDivisor;
    const auto &held = placement.held;
    const bool mayWait = held && std::find(m_tried.begin(), m_tried.end(), held->engine->entry.id) == m_tried.end();
    if (mayWait && held->until <= latest) {
        m_phase = Phase::Waiting;
        m_retryAt = held->until;
        arm();
        return;
    }
    // Engines that this node could not reach count as cold here; other nodes may know better.
    const bool isSuspicion
        = held && held->reason == HoldReason::ColdRate && held->engine->isOnlySuspectedCold(base::monotonicNow());
    if ((m_unreachableEngines > 0 || isSuspicion) && tryForward()) {
        return;
    }
    const bool isTimeKnown = m_tried.empty() || placement.areAllHeld;
    if (isSuspicion && mayRefuseForwarded()) {
        refuseForwarded("engines_at_limit", RefusalScope::Request);
        return;
    }
    if (held && held->starts != nullptr && isTimeKnown && !m_mayHaveRun) {
        refuseForHold(*held);
        return;
    }
    const auto *reason = held ? "engines_full" : "no_engine";
    waitOrFail(m_tried.empty() ? reason : m_lastReason);
}

void Exchange::refuseForHold(const HeldEngine &held)
{
    // Each caller gets a start of its own, so that they don't all come back at once.
    const auto startAt = std::max(held.until, held.starts->promise(held.startsPerSecond));
    const auto wait = startAt - base::monotonicNow();
    const bool isRest = held.reason == HoldReason::Rest;
    const auto *counter = isRest ? "ibisfork_rest_refusals_total" : "ibisfork_limit_refusals_total";
    m_context.metrics.counter(counter, {{"service", m_service}}).add();
    refuse(http::status::unavailable,
           isRest ? "engines_resting" : "engines_at_limit",
           std::chrono::ceil<std::chrono::milliseconds>(wait));
}

std::string Exchange::chooseModel()
{
    if (!m_call.autoSelectModel || m_route->models.empty()) {
        return {};
    }
    return m_model.empty() ? m_context.models.first(m_route->models) : m_model;
}

Dispatch Exchange::dispatchTo(const Engine &engine, base::TimePoint now) const
{
    Dispatch dispatch;
    dispatch.engineId = engine.entry.id;
    dispatch.workspace = m_workspace;
    dispatch.model = m_model;
    dispatch.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
    dispatch.priority = m_priority ? std::optional(std::clamp(*m_priority, 0, lowestPriority)) : std::nullopt;
    dispatch.resumeAfterEvent = m_lastEvent;
    dispatch.reservation = m_reservation;
    return dispatch;
}

void Exchange::send(const Engine &engine, const PlacementDetails &details)
{
    if (!mayRunAgain()) {
        endUnsent(engine.entry.id);
        return;
    }
    m_placementDetails = details;
    const auto now = base::monotonicNow();
    m_model = chooseModel();
    m_engineId = engine.entry.id;
    m_engineEntry = engine.entry;
    m_engineVersion = engine.entry.softwareVersion;
    m_tried.push_back(m_engineId);
    ++m_runs;
    if (!std::exchange(m_isCounted, true)) {
        m_context.resends.countRequest(m_service, now);
    }
    m_context.view.engines().recordSent(m_engineId, m_call.promptTokens, now);
    m_runCountedBy = m_context.queueOf(m_service);
    if (m_runCountedBy != nullptr) {
        const auto cost = std::max<std::uint64_t>(1, std::uint64_t{m_call.promptTokens} + m_call.maxOutputTokens);
        m_runCountedBy->recordStart(m_workspace, 1.0, static_cast<double>(cost));
    }
    m_promptPending = true;
    const MonitoredRun run{
        m_engineVersion, m_engineId, {m_route->name, m_model}, m_call.promptTokens, m_route->objective};
    m_runId = m_context.view.rollouts().recordSent(m_service, run, now);
    const auto head = platform::encodeDispatch(m_request.head, dispatchTo(engine, now));
    m_reservation.clear();
    // Once a path has failed the request, here or at the node that forwarded it, others may have been lost with it.
    const bool pathsFail = m_unreachableEngines > 0 || m_cutOffs > 0 || m_origin == RequestOrigin::Peer;
    const bool avoidsStale = pathsFail || !repeatable();
    startAttempt(m_context.pool.acquire(m_engineId, engine.entry.address, avoidsStale, now), head);
    awaitHedge();
}

void Exchange::startAttempt(std::unique_ptr<http::UpstreamConnection> connection, const http::RequestHead &head)
{
    const auto now = base::monotonicNow();
    ++m_sends;
    m_resendCharge.beginAttempt();
    m_sentAt = now;
    m_lastProgress = now;
    m_runBeganAt.reset();
    m_hasSoundParts = false;
    m_isRunWhole = false;
    m_unreadEndedAt.reset();
    m_answer = {};
    m_answerBody.reset();
    m_answerLength.reset();
    m_splitter.reset();
    m_connection = std::move(connection);
    m_phase = m_connection->connected() ? Phase::AwaitingHead : Phase::Connecting;
    http::UpstreamConnection::Handlers handlers;
    handlers.onHead = [this](const http::ResponseHead &answerHead) {
        onHead(answerHead);
    };
    handlers.onBody = [this](std::string_view bytes) {
        onBody(bytes);
    };
    handlers.onComplete = [this] {
        onComplete();
    };
    handlers.onFailure = [this](http::ConnectionFailure failure) {
        onFailure(failure);
    };
    arm();
    m_connection->send(http::serializeRequestHead(head, m_request.body.size()),
                       m_request.body,
                       m_request.head.method == "HEAD",
                       std::move(handlers));
}

void Exchange::endRun(RunEnd end)
{
    if (const auto id = std::exchange(m_runId, 0)) {
        m_context.view.rollouts().recordEnded(m_service, id, end, base::monotonicNow());
    }
}

void Exchange::promptRead()
{
    if (std::exchange(m_promptPending, false)) {
        m_context.view.engines().recordPromptRead(m_engineId, m_call.promptTokens);
    }
}

std::size_t Exchange::maxIdleConnections() const
{
    const auto *service = m_configuration->findService(m_service);
    const auto most = service == nullptr ? Service().maxConnections : service->maxConnections;
    return std::max(1U, most / idleConnectionsDivisor / std::max(1U, m_context.view.nodes()));
}

void Exchange::releaseConnection()
{
    m_move.reset();
    if (!m_connection) {
        return;
    }
    m_paused = false;
    m_context.slowCallers.remove(this);
    if (const auto peer = std::exchange(m_peer, std::nullopt)) {
        m_context.peerPool.release(peer->name, std::move(m_connection), maxIdlePeerConnections, base::monotonicNow());
        return;
    }
    promptRead();
    endRun(RunEnd::Withdrawn);
    if (auto *queue = std::exchange(m_runCountedBy, nullptr)) {
        m_isRunWhole ? queue->recordEnd(base::monotonicNow() - m_sentAt) : queue->recordWithdrawn();
    }
    m_context.view.engines().recordEnded(m_engineId);
    m_context.pool.release(m_engineId, std::move(m_connection), maxIdleConnections(), base::monotonicNow());
}

void Exchange::cancelAttempt()
{
    if (m_connection) {
        m_connection->abandon();
        releaseConnection();
    }
}

} // namespace ibisfork::gateway
