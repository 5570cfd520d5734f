#include "serving/servingtask.h"

#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ibisfork/base/log.h>
#include <ibisfork/base/overloaded.h>
#include <ibisfork/fleet/rows.h>

#include "net/deletelater.h"

#include "net/exceptions.h"

namespace ibisfork::serving {

using caller::RefusalCode;
using caller::RunState;

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds slotsCheckInterval{100};
constexpr std::chrono::milliseconds drainCheckInterval{20};
/// Bytes that evhttp accepts beyond the configured body limit, so that this task sends the refusal instead of evhttp.
constexpr std::size_t bodySizeMargin = 1024UL * 1024;

std::string newRequestId()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return fmt::format("req-{:016x}{:016x}", random(), random());
}

net::HttpServerLimits serverLimits(const settings::Settings &settings)
{
    net::HttpServerLimits limits;
    limits.maxBodyBytes = settings.limits.maxBodyBytes + bodySizeMargin;
    return limits;
}

} // namespace

ServingTask::ServingTask(const settings::Settings &settings,
                         base::MetricsRegistry &metrics,
                         DecisionLog &decisions,
                         const std::string &incarnation)
    : m_settings(settings)
    , m_task("serving")
    , m_context(m_task.base(), settings, metrics, decisions, incarnation)
    , m_table(m_task.base(), settings.platform, settings.timing.platformTimeout)
    , m_bills(m_task.base(),
              m_table,
              {settings.timing.billWindow, settings.timing.billHold, settings.limits.maxPendingBills},
              metrics)
    , m_claims(m_task.base(), m_table, settings.timing.claimWindow, metrics)
    , m_slotsTimer(m_task.base(), [this] { checkSlots(); })
    , m_loadPoller(m_task.base(), m_context.limits, metrics)
    , m_catchUpQueue(m_task.base(), [this](const net::HttpServerRequest &request) { onRequest(request); })
    , m_server(m_task.base(),
               settings.listen.callers,
               serverLimits(settings),
               [this](const net::HttpServerRequest &request) { onRequest(request); })
    , m_drainGraceTimer(m_task.base(), [this] { onDrainGraceElapsed(); })
    , m_drainTimer(m_task.base(), [this] { checkDrained(); })
    , m_mailbox(m_task.base(), [this](ServingMessage message) { handle(std::move(message)); })
{
    if (settings.tls.enabled()) {
        m_tls.emplace(settings.tls.certificateFile, settings.tls.keyFile);
        m_server.useTls(*m_tls);
    }
    m_bills.onEmpty([this] { checkDrained(); });
    m_claims.onEmpty([this] { checkDrained(); });
    m_context.claims = &m_claims;
    m_context.recordBill = [this](const ledger::Bill &bill, std::function<void()> recorded) {
        m_bills.whenSafe(m_bills.record(bill), std::move(recorded));
    };
}

void ServingTask::onChange(const ChangeSubmitter &submit)
{
    m_context.rollouts.onChange(submit);
    m_context.poison.onPoison([this, submit](const std::string &fingerprint) {
        base::LogLine(base::LogLevel::Warning, "poison").field("fingerprint", fingerprint);
        m_context.metrics.counter("ibisfork_poison_total").add();
        const auto revision = m_context.view->config->revision;
        const nlohmann::json row{{"found_by", m_settings.node.name}};
        submit({0,
                fmt::format("poison-{}-{}", fingerprint, revision),
                m_settings.node.name,
                "a request crashed two engines",
                {{fleet::rowprefix::poison + fingerprint, row.dump()}}},
               revision);
    });
}

bool ServingTask::ready() const
{
    return !m_draining && m_slotsReady && base::monotonicNow().time_since_epoch().count() < m_confirmedUntil.load();
}

void ServingTask::handle(ServingMessage message)
{
    std::visit(base::Overloaded{
                   [this](const fleettask::ConfigUpdate &update) {
                       m_context.limits.update(*update.config, base::monotonicNow());
                       m_context.view = std::make_shared<const FleetView>(update.config, m_context.limits);
                       m_loadPoller.update(*update.config);
                       m_context.poison.setFleetPoison(update.config->poison);
                       m_context.rollouts.update(*update.config, base::monotonicNow());
                       checkSlots();
                       m_context.confirmedUntil = {};
                   },
                   [this](const fleettask::ConfirmationUpdate &update) { onConfirmation(update); },
                   [this](const fleettask::PeerNotice &notice) { onPeerNotice(notice); },
                   [this](const ReloadCertificates &) { reloadCertificates(); },
                   [this](const BeginDrain &drain) {
                       m_draining = true;
                       m_drained = drain.drained;
                       m_catchUpQueue.release();
                       m_drainGraceTimer.startOnce(
                           std::min(m_settings.timing.drainGrace, m_settings.timing.drainWithin / 2));
                   },
               },
               message);
}

void ServingTask::onConfirmation(const fleettask::ConfirmationUpdate &update)
{
    const auto now = base::monotonicNow();
    const bool held = m_context.view && m_context.view->config->revision == update.revision;
    m_context.confirmedUntil = held ? update.until : base::TimePoint{};
    m_confirmedUntil = m_context.confirmedUntil.time_since_epoch().count();
    m_context.limits.recordAccepted(update.accepted, now);
    const bool behind = m_context.view && m_context.confirmedUntil == base::TimePoint{};
    m_catchUpQueue.update(m_context.confirmed(now), behind, now);
    m_context.catchUpDeadline = m_catchUpQueue.waitDeadline();
    if (update.taken) {
        update.taken();
    }
}

void ServingTask::onRequest(const net::HttpServerRequest &request)
{
    try {
        routeRequest(request);
    } catch (const RequestError &error) {
        refuse(request, RefusalCode::BadRequest, error.what());
    } catch (const std::exception &error) {
        base::LogLine(base::LogLevel::Error, "request-failed").field("error", error.what());
        refuse(request, RefusalCode::Internal, "the request failed inside this node");
    }
}

void ServingTask::routeRequest(const net::HttpServerRequest &request)
{
    if (m_draining) {
        refuse(request, RefusalCode::Draining, "this node is shutting down");
        return;
    }
    const auto now = base::monotonicNow();
    if (!m_context.confirmed(now)) {
        if (m_catchUpQueue.tryEnqueue(request, now)) {
            return;
        }
        refuse(request, RefusalCode::Unconfirmed, "this node can't confirm that its configuration is the newest");
        return;
    }
    if (request.request.body.size() > m_settings.limits.maxBodyBytes) {
        refuse(request,
               RefusalCode::TooLarge,
               fmt::format("the body has more than {} bytes", m_settings.limits.maxBodyBytes));
        return;
    }
    const auto *workspace = authenticate(request.request.headers);
    if (workspace == nullptr) {
        refuse(request, RefusalCode::BadKey, "the bearer key is not known");
        return;
    }
    const auto &path = request.request.path;
    if (path == "/v1/chat/completions" && request.request.method == net::HttpMethod::Post) {
        startChat(request, *workspace);
    } else if (path == "/v1/models" && request.request.method == net::HttpMethod::Get) {
        listModels(request, *workspace);
    } else if (!parseServicePath(path).service.empty()) {
        startService(request, *workspace);
    } else {
        refuse(request, RefusalCode::NotFound, "there is nothing at this path");
    }
}

void ServingTask::startChat(const net::HttpServerRequest &request, const fleet::Workspace &workspace)
{
    if (m_bills.full()) {
        refuse(request, RefusalCode::Overloaded, "too many bills wait for the platform");
        return;
    }
    if (m_exchanges.size() >= m_settings.limits.maxRequests) {
        refuse(request, RefusalCode::Overloaded, "this node bears no more requests");
        return;
    }
    const auto &headers = request.request.headers;
    ExchangeRequest exchangeRequest;
    exchangeRequest.id = newRequestId();
    exchangeRequest.workspace = workspace.name;
    exchangeRequest.chat = parseChatRequest(request.request.body);
    exchangeRequest.priority = parsePriority(headers, workspace.rules.priority);
    exchangeRequest.deadline = deadlineFor(headers);
    if (!readSessionHeader(request, exchangeRequest)) {
        return;
    }
    const auto id = exchangeRequest.id;
    auto exchange = std::make_unique<Exchange>(
        m_context, std::move(exchangeRequest), request.reply, [this, id] { removeExchange(id); });
    auto &held = *(m_exchanges[id] = std::move(exchange));
    held.start();
}

base::Duration ServingTask::deadlineFor(const net::HttpHeaders &headers) const
{
    const auto asked = parseDeadline(headers, m_settings.timing.requestDeadline);
    return std::min<base::Duration>(asked, m_settings.timing.longestRun);
}

bool ServingTask::readSessionHeader(const net::HttpServerRequest &request, ExchangeRequest &exchangeRequest) const
{
    const auto token = request.request.headers.find("X-Session");
    if (!token) {
        return true;
    }
    const auto &keys = m_context.view->config->sessionKeys;
    if (signingKey(keys) == nullptr) {
        refuse(request, RefusalCode::BadSession, "the fleet has no key that signs sessions");
        return false;
    }
    if (*token == "new") {
        exchangeRequest.session = newSession(exchangeRequest.workspace);
        return true;
    }
    const auto read = readSession(*token, keys, exchangeRequest.workspace, wallNow());
    if (const auto *error = std::get_if<SessionError>(&read)) {
        refuse(request, RefusalCode::BadSession, std::string(base::nameOf(sessionErrorTexts, *error)));
        return false;
    }
    exchangeRequest.session = std::get<Session>(read);
    return true;
}

void ServingTask::startService(const net::HttpServerRequest &request, const fleet::Workspace &workspace)
{
    if (m_exchanges.size() + m_serviceExchanges.size() >= m_settings.limits.maxRequests) {
        refuse(request, RefusalCode::Overloaded, "this node bears no more requests");
        return;
    }
    try {
        const auto path = parseServicePath(request.request.path);
        ServiceRequest service{workspace.name, path.service, request.request, {}};
        service.call.path = path.path;
        service.deadline = deadlineFor(request.request.headers);
        const auto id = newRequestId();
        auto exchange = std::make_unique<ServiceExchange>(
            m_context, id, std::move(service), request.reply, [this, id] { removeExchange(id); });
        auto &held = *(m_serviceExchanges[id] = std::move(exchange));
        held.start();
    } catch (const RequestError &error) {
        refuse(request, RefusalCode::BadRequest, error.what());
    }
}

void ServingTask::listModels(const net::HttpServerRequest &request, const fleet::Workspace &workspace) const
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto &id : workspace.versions) {
        const auto version = m_context.view->config->versions.find(id);
        if (version != m_context.view->config->versions.end()
            && version->second.state != fleet::VersionState::Withdrawn) {
            models.push_back({{"id", id.text()}, {"object", "model"}});
        }
    }
    net::HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    request.reply->send(statusOk, headers, nlohmann::json{{"object", "list"}, {"data", models}}.dump());
}

const fleet::Workspace *ServingTask::authenticate(const net::HttpHeaders &headers) const
{
    return m_context.view->keys.find(bearerKey(headers));
}

void ServingTask::refuse(const net::HttpServerRequest &request, RefusalCode code, const std::string &message) const
{
    base::LogLine(base::LogLevel::Info, "refuse")
        .field("peer", request.peer)
        .field("path", request.request.path)
        .field("code", caller::nameOf(code));
    m_context.metrics.counter("ibisfork_requests_total", {{"outcome", "refused"}}).add();
    const bool temporary
        = code == RefusalCode::Draining || code == RefusalCode::Unconfirmed || code == RefusalCode::Overloaded;
    net::HttpHeaders headers;
    headers.add("X-Request-Id", newRequestId());
    if (m_draining) {
        headers.add("Connection", "close");
    }
    caller::sendRefusal(
        *request.reply, {code, RunState::NotRun, message, temporary ? caller::shortRetryAfterSeconds : 0}, headers);
}

void ServingTask::removeExchange(const std::string &requestId)
{
    const auto entry = m_exchanges.find(requestId);
    if (entry != m_exchanges.end()) {
        // Deferred, since this is called from a member function of the exchange.
        net::deleteLater(m_task.base(), std::move(entry->second));
        m_exchanges.erase(entry);
    }
    m_serviceExchanges.erase(requestId);
}

void ServingTask::onDrainGraceElapsed()
{
    m_drainGraceElapsed = true;
    m_server.stopListening();
    m_drainTimer.startEvery(drainCheckInterval);
}

void ServingTask::checkSlots()
{
    if (m_slotsReady) {
        m_slotsTimer.stop();
    } else if (m_context.limits.member() && m_context.limits.settled(base::monotonicNow())) {
        m_slotsReady = true;
    } else {
        m_slotsTimer.startOnce(slotsCheckInterval);
    }
}

void ServingTask::reloadCertificates()
{
    if (!m_tls) {
        return;
    }
    try {
        m_tls->reload();
        base::LogLine(base::LogLevel::Info, "certificates-read").field("file", m_settings.tls.certificateFile);
    } catch (const net::NetError &error) {
        base::LogLine(base::LogLevel::Error, "certificates-unreadable").field("error", error.what());
    }
}

void ServingTask::onPeerNotice(const fleettask::PeerNotice &notice)
{
    const auto sign = base::valueOf(upstream::coldStartSignNames, notice.detail);
    base::LogLine(base::LogLevel::Info, "notice")
        .field("kind", base::nameOf(fleettask::noticeKindNames, notice.kind))
        .field("subject", notice.subject)
        .field("detail", notice.detail);
    if (sign) {
        m_context.limits.takeNotice({notice.subject, {}, *sign}, base::monotonicNow());
    }
}

void ServingTask::checkDrained()
{
    // The process exits after this, so all response bytes must have been written to the sockets.
    const bool idle = m_exchanges.empty() && m_serviceExchanges.empty() && m_bills.empty() && m_claims.empty()
        && m_server.unflushed() == 0;
    if (m_drainGraceElapsed && idle && m_drained) {
        m_drainTimer.stop();
        std::exchange(m_drained, nullptr)();
    }
}

} // namespace ibisfork::serving
