#include "gateway/reachprobe.h"

#include <array>
#include <utility>

#include <ibisfork/base/names.h>

#include "gateway/enginepause.h"
#include "gateway/eventlog.h"
#include "net/deletelater.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

constexpr std::chrono::milliseconds probeTimeout{400};
/// Names the probes in the log, where other lines have a request's id.
constexpr const char *requestName = "health_check";

constexpr std::array<base::Name<http::ConnectionFailure>, 4> outcomeNames{{
    {http::ConnectionFailure::Connect, "no_connection"},
    {http::ConnectionFailure::NoSocket, "no_socket"},
    {http::ConnectionFailure::Lost, "connection_lost"},
    {http::ConnectionFailure::Malformed, "malformed"},
}};

} // namespace

ReachProbe::ReachProbe(Context &context)
    : m_context(context)
    , m_client(context.base)
{ }

void ReachProbe::tick()
{
    if (m_context.reach.cutOffServices().empty() || !m_context.knowsForwardingPeers()) {
        // Requests go on to try the engines themselves.
        return;
    }
    for (const auto &service : m_context.reach.cutOffServices()) {
        probe(service);
    }
}

void ReachProbe::checkPath(const EngineEntry &engine)
{
    if (m_context.reach.isCutOff(engine.service) || m_checks.contains(engine.id)) {
        return;
    }
    const auto id = engine.id;
    auto &check = m_checks[id];
    check.engine = engine;
    check.connection = std::make_unique<http::UpstreamConnection>(m_context.base, engine.address);
    check.timer = std::make_unique<net::Timer>(m_context.base, [this, id] { onCheckTimer(id); });
    check.timer->startOnce(connectTime);
    http::UpstreamConnection::Handlers handlers;
    handlers.onHead = [this, id](const http::ResponseHead &head) {
        onCheckAnswered(id, head);
    };
    handlers.onBody = [](std::string_view) {
    };
    handlers.onComplete = [] {
    };
    handlers.onFailure = [this, id](http::ConnectionFailure failure) {
        onCheckFailed(id, failure);
    };
    check.connection->send(healthCheck(engine), false, std::move(handlers));
}

void ReachProbe::onCheckTimer(const std::string &engineId)
{
    auto &check = m_checks.at(engineId);
    if (check.lateBytes.mayAwait(*check.connection, base::monotonicNow())) {
        check.timer->startOnce(http::LateBytes::checkInterval);
    } else if (!check.connection->connected()) {
        onCheckFailed(engineId, http::ConnectionFailure::Connect);
    } else if (std::exchange(check.awaitsAnswer, true)) {
        endCheck(engineId, "silent");
    } else {
        check.lateBytes.reset();
        check.timer->startOnce(longestPause);
    }
}

void ReachProbe::onCheckFailed(const std::string &engineId, http::ConnectionFailure failure)
{
    const auto service = m_checks.at(engineId).engine.service;
    endCheck(engineId, base::nameOf(outcomeNames, failure));
    if (failure == http::ConnectionFailure::Connect) {
        m_context.recordEngineUnreachable(service, engineId);
    }
}

void ReachProbe::onCheckAnswered(const std::string &engineId, const http::ResponseHead &head)
{
    const auto &check = m_checks.at(engineId);
    handleAnswer(check.engine, head, check.connection->connectedAt());
    endCheck(engineId, "answered");
}

void ReachProbe::endCheck(const std::string &engineId, std::string_view outcome)
{
    auto check = std::move(m_checks.extract(engineId).mapped());
    // The loop may have found it due already.
    check.timer->stop();
    EventLog::state("path_checked").field("engine", engineId).field("outcome", outcome);
    check.connection->abandon();
    // Neither may be destroyed inside its own callback.
    net::deleteLater(m_context.base, std::move(check.connection));
    net::deleteLater(m_context.base, std::move(check.timer));
}

std::string ReachProbe::healthCheck(const EngineEntry &engine) const
{
    const auto *known = m_context.view.configuration()->findService(engine.service);
    http::RequestHead head{"GET", known == nullptr ? "/" : known->healthPath, {}};
    head.headers.add("Host", engine.address.text());
    // A connection from before the cut may live on while new ones are refused.
    head.headers.add("Connection", "close");
    return http::serializeRequest(head, {});
}

void ReachProbe::probe(const std::string &service)
{
    auto engines = m_context.view.usableEngines(service, VersionPreference::Any);
    const auto now = base::monotonicNow();
    std::erase_if(engines, [now](const Engine *engine) { return engine->isResting(now); });
    if (engines.empty()) {
        return;
    }
    const auto &entry = engines[m_probes[service]++ % engines.size()]->entry;
    m_client.send(entry.address, healthCheck(entry), probeTimeout, [this, entry](const http::CallAnswer &answer) {
        if (answer.head.status != http::CallClient::noAnswer) {
            handleAnswer(entry, answer.head, std::nullopt);
        }
    });
}

void ReachProbe::handleAnswer(const EngineEntry &engine,
                              const http::ResponseHead &head,
                              std::optional<base::TimePoint> connectedAt)
{
    const auto process = engine.process();
    m_context.recordEngineAnswered(engine.service, engine.id, connectedAt);
    const auto answer = platform::decodeAnswer(head);
    m_context.recordEngineRest(engine.service, process, answer, requestName);
    if (answer.isLeaving) {
        m_context.recordEngineLeaving(engine.service, process, requestName);
    }
}

} // namespace ibisfork::gateway
