#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "gateway/eventlog.h"
#include "net/deletelater.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int firstServerError = 500;
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;

/// Patience of a caller that does not say.
constexpr std::chrono::milliseconds defaultPatience{30000};
/// A connection within a region takes a few milliseconds; a machine without power never answers.
constexpr std::chrono::milliseconds connectTimeout{300};
/// A run that is given less than this can't end well.
constexpr std::chrono::milliseconds leastRun{40};
/// Waits for an engine that may take a request later, as a share of the objective.
constexpr int waitDivisor = 4;
/// A stream goes on elsewhere when it pauses for this share of the pause that is still in time.
constexpr double pauseShare = 1.0;
/// The first byte is late when it takes so many times what it usually takes, and at least so long.
constexpr double firstByteFactor = 5;
constexpr std::chrono::milliseconds leastFirstByteBound{500};
/// Prompt tokens that a busy engine reads in a millisecond.
constexpr std::uint32_t slowTokensPerMs = 15;
constexpr std::chrono::milliseconds leastPlainBound{250};
constexpr double plainBoundFactor = 1.5;
/// Times to come back: an engine is full for a short time, a missing one longer.
constexpr std::chrono::milliseconds retryAfterFull{250};
constexpr std::chrono::milliseconds retryAfterNoEngine{1000};
constexpr std::chrono::milliseconds retryAfterCondemned{30000};
/// Prompt parts below this many tokens are read again as fast as another engine is found.
constexpr std::uint32_t leastSharedTokens = 1024;
/// Bytes that a slow caller may owe before its engine is no longer read.
constexpr std::size_t maxBacklog = 256UL * 1024;
constexpr int lowestPriority = 9;

std::string withoutPort(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

/// The last part that other requests may share; the very last one is the request's own.
std::string sharedPartOf(const std::vector<PromptPart> &parts)
{
    if (parts.size() < 2) {
        return {};
    }
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        tokens += parts[i].tokens;
    }
    return tokens >= leastSharedTokens ? parts[parts.size() - 2].id : std::string();
}

std::string secondsText(std::chrono::milliseconds duration)
{
    constexpr double millisecondsPerSecond = 1000.0;
    return fmt::format("{:.2f}", static_cast<double>(duration.count()) / millisecondsPerSecond);
}

} // namespace

Exchange::Exchange(Context &context, http::CallerConnection &caller, http::Request request, std::function<void()> done)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_configuration(context.view.configuration())
    , m_call(platform::decodeCall(m_request.head))
    , m_start(base::monotonicNow())
    , m_endsAt(m_start + m_call.patience.value_or(defaultPatience))
    , m_timer(context.base, [this] { onTimer(); })
{ }

Exchange::~Exchange() = default;

void Exchange::begin()
{
    if (!m_configuration || !m_context.view.knowsEngines()) {
        refuse(statusUnavailable, "no_configuration", retryAfterNoEngine);
        return;
    }
    if (!admit()) {
        return;
    }
    if (m_context.stoppingLate && m_route->repeatability == Repeatability::Stream) {
        refuse(statusUnavailable, "node_stops", retryAfterFull);
        return;
    }
    m_endsAt = std::min<base::TimePoint>(m_endsAt, m_start + m_route->timeout);
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
    m_preference = m_context.view.rollouts().prefer(m_service, m_subject, isSession, m_start);
    if (m_context.crashes.condemned(fingerprint())) {
        refuse(statusUnavailable, "crashes_engines", retryAfterCondemned);
        return;
    }
    m_context.resends.countRequest(m_service, m_start);
    m_context.lanes[m_service].count(ownTokens());
    dispatch();
}

bool Exchange::admit()
{
    m_route = m_configuration->findRoute(withoutPort(m_call.host), m_call.path);
    if (m_route == nullptr) {
        answerFailure(statusNotFound, "no_route");
        return false;
    }
    m_priority = m_route->priority;
    if (!m_configuration->hasWorkspaces || m_route->isPublic) {
        return true;
    }
    const auto found = m_configuration->workspacesByKey.find(m_call.key);
    if (found == m_configuration->workspacesByKey.end()) {
        answerFailure(statusUnauthorized, "unknown_key");
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

base::Duration Exchange::coldPeriod() const
{
    const auto *service = m_configuration->findService(m_service);
    return service == nullptr ? base::Duration::zero() : base::Duration(service->coldPeriod);
}

std::uint32_t Exchange::ownTokens() const
{
    return m_call.promptParts.empty() ? m_call.promptTokens : m_call.promptParts.back().tokens;
}

void Exchange::dispatch()
{
    const auto now = base::monotonicNow();
    if (m_endsAt - now < leastRun) {
        giveUp("no_time_left");
        return;
    }
    const auto *service = m_configuration->findService(m_service);
    PlacementRequest request;
    request.sharedPart = sharedPartOf(m_call.promptParts);
    request.failureDomain = m_context.settings.node.failureDomain;
    request.tried = m_tried;
    request.nodes = m_context.view.nodes();
    request.coldRate = service == nullptr ? 0 : service->coldRate;
    if (!m_engineVersion.empty()) {
        // A roll-out may have begun since; what goes on elsewhere stays on its version.
        m_preference = m_context.view.rollouts().preferSame(m_service, m_engineVersion);
    }
    const auto usable = m_context.view.usable(m_service, m_preference);
    auto placement
        = m_context.placement.choose(m_context.lanes[m_service].enginesFor(ownTokens(), usable), request, now);
    if (placement.engine == nullptr) {
        placement = m_context.placement.choose(usable, request, now);
    }
    if (placement.engine == nullptr) {
        noEngine(placement);
        return;
    }
    send(*placement.engine);
}

void Exchange::noEngine(const Placement &placement)
{
    const auto latest = m_start + m_route->objective / waitDivisor;
    if (placement.retryAt && *placement.retryAt <= latest) {
        m_phase = Phase::Waiting;
        m_retryAt = *placement.retryAt;
        arm();
        return;
    }
    giveUp(m_tried.empty() ? "no_engine" : m_lastReason);
}

std::string Exchange::chooseModel()
{
    if (!m_call.anyModel || m_route->models.empty()) {
        return {};
    }
    return m_model.empty() ? m_context.models.first(m_route->models, 0) : m_model;
}

Dispatch Exchange::dispatchTo(const Engine &engine, base::TimePoint now) const
{
    Dispatch dispatch;
    dispatch.engineId = engine.entry.id;
    dispatch.workspace = m_workspace;
    dispatch.model = m_model;
    dispatch.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_endsAt - now);
    dispatch.priority = m_priority ? std::optional(std::clamp(*m_priority, 0, lowestPriority)) : std::nullopt;
    dispatch.resumeAfterEvent = m_lastEvent;
    return dispatch;
}

void Exchange::send(Engine &engine)
{
    const auto now = base::monotonicNow();
    m_model = chooseModel();
    m_engineId = engine.entry.id;
    m_engineVersion = engine.entry.softwareVersion;
    m_tried.push_back(m_engineId);
    ++m_sends;
    ++m_runs;
    m_sentAt = now;
    m_lastProgress = now;
    m_answer = {};
    m_answerBody.clear();
    m_splitter.reset();
    m_context.view.engines().noteSent(m_engineId, m_call.promptTokens);
    m_promptWaits = true;
    m_connection = m_context.pool.take(m_engineId, engine.entry.address, !repeatable(), now);
    m_phase = m_connection->connected() ? Phase::AwaitingHead : Phase::Connecting;
    const auto head = platform::encodeDispatch(m_request.head, dispatchTo(engine, now));
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
    m_connection->send(
        http::serializeRequest(head, m_request.body), m_request.head.method == "HEAD", std::move(handlers));
}

void Exchange::onHead(const http::ResponseHead &head)
{
    const auto now = base::monotonicNow();
    m_phase = Phase::Reading;
    m_lastProgress = now;
    m_answerHead = head;
    m_answer = platform::decodeAnswer(head);
    if (m_answer.load) {
        m_context.view.engines().noteLoad(m_engineId, *m_answer.load, now);
    }
    if (!headIsUsable()) {
        miss({EngineFault::Failed, true, "foreign_answer"});
        return;
    }
    if (m_answer.notRun) {
        return;
    }
    m_firstByteAfter = now - m_sentAt;
    promptRead();
    m_context.firstByte(m_route->name).add(base::toSeconds(*m_firstByteAfter));
    if (wantsSecondRun()) {
        const auto model = m_context.models.larger(m_route->models);
        EventLog::routine("second_run")
            .field("id", m_call.id)
            .field("model", m_model)
            .field("confidence", m_answer.confidence.value_or(-1));
        m_model = model;
        m_connection->abandon();
        releaseConnection();
        m_tried.pop_back();
        dispatch();
    }
}

bool Exchange::headIsUsable() const
{
    const bool success = m_answer.status >= firstSuccess && m_answer.status < firstRedirect;
    const bool foreign = !m_answer.callId.empty() && m_answer.callId != m_call.id;
    return !foreign && (!success || m_answer.isSigned);
}

bool Exchange::wantsSecondRun() const
{
    if (m_streamBegun || !m_call.anyModel || !m_answer.confidence || m_runs >= m_route->maxUpstreams) {
        return false;
    }
    return m_context.models.worthSecondRun(m_route->models, m_model, *m_answer.confidence)
        && m_context.resends.take(m_service, m_context.view.nodes(), base::monotonicNow());
}

void Exchange::onBody(std::string_view bytes)
{
    m_lastProgress = base::monotonicNow();
    const bool isStream = m_answer.eventStream && m_answer.status < firstRedirect;
    if (!isStream) {
        m_answerBody.append(bytes);
        return;
    }
    const bool fits = m_splitter.feed(bytes, [this](const StreamEvent &event) { forwardEvent(event); });
    if (!fits) {
        miss({EngineFault::Failed, true, "event_too_long"});
        return;
    }
    if (m_caller.backlog() > maxBacklog && !m_paused) {
        m_paused = true;
        m_connection->pauseReading(true);
    }
}

void Exchange::forwardEvent(const StreamEvent &event)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_caller.beginStream(m_answer.status, platform::answerHeaders(m_answerHead), m_context.stopping);
    }
    if (event.id) {
        m_lastEvent = event.id;
    }
    m_caller.sendPiece(event.bytes);
}

void Exchange::callerDrained()
{
    if (m_paused && m_connection) {
        m_paused = false;
        m_lastProgress = base::monotonicNow();
        m_connection->pauseReading(false);
    }
}

void Exchange::onComplete()
{
    if (m_answer.notRun) {
        miss({EngineFault::Full, false, "engine_refused"});
        return;
    }
    const bool isStream = m_answer.eventStream && m_answer.status < firstRedirect;
    if (isStream) {
        completeStream();
    } else {
        completeBuffered();
    }
}

void Exchange::completeStream()
{
    if (m_splitter.midEvent()) {
        miss({EngineFault::Failed, true, "stream_ended_mid_event"});
        return;
    }
    m_context.view.engines().noteSuccess(m_engineId);
    m_context.crashes.noteAnswered(fingerprint());
    m_context.view.rollouts().noteOutcome(m_service, m_engineVersion, m_route->name, {false, m_firstByteAfter});
    releaseConnection();
    if (!m_streamBegun) {
        m_caller.beginStream(m_answer.status, platform::answerHeaders(m_answerHead), m_context.stopping);
    }
    m_caller.endStream();
    finish("answered", m_answer.status);
}

void Exchange::completeBuffered()
{
    const bool failed = m_answer.status >= firstServerError;
    m_context.view.rollouts().noteOutcome(m_service, m_engineVersion, m_route->name, {failed, m_firstByteAfter});
    if (failed && m_streamBegun) {
        miss({EngineFault::Failed, true, "engine_failed"});
        return;
    }
    if (failed && takeResend(true)) {
        miss({EngineFault::Failed, true, "engine_failed", true});
        return;
    }
    if (failed) {
        m_context.view.engines().noteFault(m_engineId, EngineFault::Failed, coldPeriod(), base::monotonicNow());
    } else {
        m_context.view.engines().noteSuccess(m_engineId);
    }
    releaseConnection();
    m_caller.sendAnswer(m_answer.status, platform::answerHeaders(m_answerHead), m_answerBody, m_context.stopping);
    finish(failed ? "engine_failed" : "answered", m_answer.status);
}

void Exchange::onFailure(http::ConnectionFailure failure)
{
    switch (failure) {
    case http::ConnectionFailure::Connect:
        miss({EngineFault::Unreachable, false, "no_connection"});
        return;
    case http::ConnectionFailure::Lost:
        miss({EngineFault::Lost, !m_answer.notRun, "connection_lost"});
        return;
    case http::ConnectionFailure::Malformed:
        miss({EngineFault::Failed, !m_answer.notRun, "malformed_answer"});
        return;
    }
}

const std::string &Exchange::fingerprint()
{
    if (m_fingerprint.empty()) {
        m_fingerprint = CrashBook::fingerprintOf(m_workspace, m_request.head.target, m_request.body);
    }
    return m_fingerprint;
}

void Exchange::noteCrash(base::TimePoint now)
{
    const auto told = m_context.crashes.noteCrash(fingerprint(), m_engineId, repeatable(), now);
    if (told && m_context.tellCrashes) {
        EventLog::state("request_crashes_engines")
            .field("id", m_call.id)
            .field("fingerprint", fingerprint())
            .field("engines", *told);
        m_context.tellCrashes(fingerprint(), *told);
    }
}

void Exchange::promptRead()
{
    if (std::exchange(m_promptWaits, false)) {
        m_context.view.engines().notePromptRead(m_engineId, m_call.promptTokens);
    }
}

void Exchange::releaseConnection()
{
    if (!m_connection) {
        return;
    }
    promptRead();
    m_context.view.engines().noteEnded(m_engineId);
    m_paused = false;
    m_context.pool.give(m_engineId, std::move(m_connection), base::monotonicNow());
}

void Exchange::miss(const Miss &miss)
{
    const auto now = base::monotonicNow();
    EventLog::failure("attempt_failed")
        .field("id", m_call.id)
        .field("engine", m_engineId)
        .field("reason", miss.reason)
        .field("may_have_run", miss.mayHaveRun)
        .field("status", m_answer.status)
        .field("after_ms", base::toMilliseconds(now - m_sentAt))
        .field("last_event", m_lastEvent.value_or(0));
    if (m_connection && !m_connection->reusable()) {
        m_connection->abandon();
    }
    m_phase = Phase::Waiting;
    m_context.view.engines().noteFault(m_engineId, miss.fault, coldPeriod(), now);
    m_lastReason = miss.reason;
    if (miss.fault == EngineFault::Lost) {
        noteCrash(now);
    }
    m_mayHaveRun = m_mayHaveRun || miss.mayHaveRun;
    if (!miss.mayHaveRun) {
        --m_runs;
    }
    m_firstByteAfter.reset();
    releaseConnection();
    if (miss.resendTaken || takeResend(miss.mayHaveRun)) {
        dispatch();
    } else {
        giveUp(miss.reason);
    }
}

bool Exchange::takeResend(bool mayHaveRun)
{
    return mayGoOn(mayHaveRun) && m_context.resends.take(m_service, m_context.view.nodes(), base::monotonicNow());
}

bool Exchange::mayGoOn(bool mayHaveRun) const
{
    if (mayHaveRun && !repeatable()) {
        return false;
    }
    const bool runsLeft = m_runs < m_route->maxUpstreams;
    return runsLeft && m_endsAt - base::monotonicNow() > leastRun;
}

void Exchange::giveUp(const char *reason)
{
    if (m_streamBegun) {
        m_caller.abort();
        finish(reason, 0);
        return;
    }
    if (m_mayHaveRun) {
        const bool late = base::monotonicNow() >= m_endsAt - leastRun;
        answerFailure(late ? statusGatewayTimeout : statusBadGateway, reason);
        return;
    }
    refuse(statusUnavailable, reason, m_tried.empty() ? retryAfterNoEngine : retryAfterFull);
}

void Exchange::refuse(int status, const char *reason, std::chrono::milliseconds retryAfter)
{
    http::HeaderList headers;
    headers.add("Retry-After", secondsText(retryAfter));
    m_caller.sendAnswer(status, headers, {}, m_context.stopping);
    finish(reason, status);
}

void Exchange::answerFailure(int status, const char *reason)
{
    m_caller.sendAnswer(status, {}, {}, m_context.stopping);
    finish(reason, status);
}

base::Duration Exchange::silenceBound() const
{
    if (m_phase == Phase::Connecting) {
        return connectTimeout;
    }
    if (!repeatable()) {
        return base::Duration::max();
    }
    if (m_phase == Phase::Reading) {
        const auto pause = std::chrono::duration<double>(m_route->pauseObjective) * pauseShare;
        return std::chrono::duration_cast<base::Duration>(pause);
    }
    if (m_route->repeatability == Repeatability::Idempotent) {
        const auto bound = std::chrono::duration<double>(m_route->objective) * plainBoundFactor;
        return std::max<base::Duration>(std::chrono::duration_cast<base::Duration>(bound), leastPlainBound);
    }
    const auto usual = std::chrono::duration<double>(m_context.firstByte(m_route->name).value());
    const auto bound = std::chrono::duration_cast<base::Duration>(usual * firstByteFactor);
    const auto reading = std::chrono::milliseconds(m_call.promptTokens / slowTokensPerMs);
    return std::min<base::Duration>(bound + leastFirstByteBound + reading, m_route->objective + reading);
}

void Exchange::arm()
{
    const auto now = base::monotonicNow();
    auto next = m_endsAt;
    if (m_phase == Phase::Waiting) {
        next = std::min(next, m_retryAt);
    } else {
        const auto bound = silenceBound();
        if (bound != base::Duration::max()) {
            next = std::min(next, m_lastProgress + bound);
        }
    }
    m_timer.startOnce(std::max<base::Duration>(next - now, std::chrono::milliseconds(1)));
}

void Exchange::onTimer()
{
    const auto now = base::monotonicNow();
    if (m_phase == Phase::Connecting && m_connection->connected()) {
        m_phase = Phase::AwaitingHead;
    }
    if (now >= m_endsAt) {
        m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->sent());
        if (m_connection) {
            m_connection->abandon();
            releaseConnection();
        }
        giveUp("timeout");
        return;
    }
    if (m_phase == Phase::Waiting) {
        dispatch();
        return;
    }
    const auto bound = silenceBound();
    const bool silent = bound != base::Duration::max() && now - m_lastProgress >= bound && !m_paused;
    if (!silent) {
        arm();
        return;
    }
    if (m_phase == Phase::Connecting) {
        miss({EngineFault::Unreachable, false, "connect_timeout"});
    } else if (takeResend(true)) {
        miss({EngineFault::Silent, true, "engine_silent", true});
    } else {
        // Nowhere else to go: the engine may still answer.
        m_lastProgress = now;
        arm();
    }
}

void Exchange::callerLeft()
{
    if (m_connection) {
        m_connection->abandon();
        releaseConnection();
    }
    finish("caller_left", 0);
}

void Exchange::cutOff()
{
    m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->sent());
    if (m_connection) {
        m_connection->abandon();
        releaseConnection();
    }
    giveUp("node_stops");
}

void Exchange::finish(const char *outcome, int status)
{
    if (m_phase == Phase::Finished) {
        return;
    }
    m_phase = Phase::Finished;
    m_timer.stop();
    const auto took = base::monotonicNow() - m_start;
    const auto route = m_route == nullptr ? std::string("-") : m_route->name;
    m_context.metrics.counter("ibisfork_requests_total", {{"route", route}, {"outcome", outcome}}).add();
    m_context.metrics.histogram("ibisfork_request_seconds", {{"route", route}}).observe(base::toSeconds(took));
    EventLog(status >= firstSuccess && status < firstRedirect ? Importance::Routine : Importance::Failure, "request")
        .field("id", m_call.id)
        .field("session", m_call.session.empty() ? "-" : m_call.session)
        .field("route", route)
        .field("configuration", m_configuration ? m_configuration->version : 0)
        .field("workspace", m_workspace.empty() ? "-" : m_workspace)
        .field("engine", m_engineId.empty() ? "-" : m_engineId)
        .field("model", m_model.empty() ? "-" : m_model)
        .field("confidence", m_answer.confidence.value_or(-1))
        .field("sends", m_sends)
        .field("first_byte_ms", m_firstByteAfter ? base::toMilliseconds(*m_firstByteAfter) : -1)
        .field("took_ms", base::toMilliseconds(took))
        .field("status", status)
        .field("outcome", outcome);
    m_done();
}

} // namespace ibisfork::gateway
