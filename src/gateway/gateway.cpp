#include "gateway/gateway.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "gateway/eventlog.h"
#include "gateway/noderow.h"
#include "http/status.h"
#include "platform/callcodec.h"
#include "platform/factcodec.h"

namespace ibisfork::gateway {

namespace {

constexpr std::chrono::milliseconds tickInterval{250};
constexpr std::chrono::milliseconds stopTickInterval{50};
/// Shortest shutdown: the balancer checks readiness once a second and removes a node after two failed checks.
constexpr std::chrono::milliseconds minShutdownTime{3200};
/// Time after which the balancer opens no more connections to this node; idle keep-alive connections are closed then.
constexpr std::chrono::milliseconds balancerDelay{2400};
/// Requests that still run this long before the end of the shutdown grace are cut off, or, if the grace is short, this
/// part of it before its end.
constexpr std::chrono::milliseconds longestCutOffMargin{500};
constexpr int cutOffMarginPart = 8;
/// Rollout orders and configurations must take effect at once; a longer wait would delay the detection of a dead
/// connection.
constexpr WatchTiming operatorTiming{std::chrono::milliseconds(700), std::chrono::milliseconds(0)};
/// Engines renew their entries continuously; the gap batches the changes. Both together leave time for the nodes that
/// pass the rows on.
constexpr std::chrono::milliseconds engineWait{300};
constexpr std::chrono::milliseconds engineGap{700};
/// The status table and this system's own table rarely change, and their changes are not urgent.
constexpr WatchTiming statusTiming{std::chrono::milliseconds(3000),
                                   std::chrono::milliseconds(300),
                                   std::chrono::milliseconds(8000)};
constexpr WatchTiming ownTiming{std::chrono::milliseconds(3000),
                                std::chrono::milliseconds(300),
                                std::chrono::milliseconds(8000)};

/// An entry lapses after three heartbeat intervals, of which one may have passed when an outage begins.
constexpr int renewalHeartbeats = 2;

WatchTiming engineTiming(const settings::FleetBounds &bounds)
{
    WatchTiming timing{engineWait, engineGap};
    timing.renewalTime = bounds.engineHeartbeat * renewalHeartbeats;
    return timing;
}

/// Time since the store last confirmed the table of @p watch, in milliseconds; -1 before the first answer.
std::int64_t ageMs(const TableWatch &watch, base::TimePoint now)
{
    return watch.confirmedAt() ? base::toMilliseconds(now - *watch.confirmedAt()) : -1;
}

base::Duration cutOffMargin(base::Duration grace)
{
    return std::min<base::Duration>(longestCutOffMargin, grace / cutOffMarginPart);
}

PeerNode selfOf(const settings::GatewaySettings &settings)
{
    return {settings.node.name, settings.node.region, settings.node.failureDomain, settings.operators};
}

/// By default a free port of the operators' address.
net::Address forwardingAddress(const settings::GatewaySettings &settings)
{
    return settings.forwarding.ip.empty() ? net::Address{settings.operators.ip, 0} : settings.forwarding;
}

InfoPortLimits readinessLimits(const settings::ProcessLimits &limits)
{
    InfoPortLimits out;
    out.keepsBodies = false;
    out.budget = std::make_shared<memory::MemoryBudget>(memory::readinessBudgetCapacity(limits.memory));
    return out;
}

/// Evidence of all nodes is the longest body that is sent here.
InfoPortLimits operatorsLimits(const settings::ProcessLimits &limits)
{
    InfoPortLimits out;
    out.budget = std::make_shared<memory::MemoryBudget>(memory::operatorsBudgetCapacity(limits.memory));
    return out;
}

} // namespace

Gateway::Gateway(event_base *base, const settings::GatewaySettings &settings, base::MetricsRegistry &metrics)
    : m_context(base, settings, metrics)
    , m_store(base, settings.store, metrics)
    , m_source(base, m_store, selfOf(settings), settings.seeds, metrics)
    , m_operatorTable(base,
                      m_source,
                      platform::operatorsTable(),
                      operatorTiming,
                      [this](const TableChange &change) {
                          m_context.view.applyOperatorRows(change, base::monotonicNow());
                          m_context.view.recordOperatorVersion(change.version);
                          m_tableServer.update(platform::operatorsTable(), change);
                          m_rollouts.writeDueStatuses(base::monotonicNow());
                      })
    , m_engineTable(base,
                    m_source,
                    platform::enginesTable(),
                    engineTiming(settings.bounds),
                    [this](const TableChange &change) {
                        m_context.view.applyEngineRows(change, base::monotonicNow());
                        m_tableServer.update(platform::enginesTable(), change);
                    })
    , m_statusTable(base,
                    m_source,
                    platform::statusTable(),
                    statusTiming,
                    [this](const TableChange &change) {
                        m_context.view.applyStatusRows(change);
                        m_tableServer.update(platform::statusTable(), change);
                    })
    , m_ownTable(base,
                 m_source,
                 ownTable,
                 ownTiming,
                 [this](const TableChange &change) {
                     m_context.view.applyOwnRows(change, m_ownTable.storeNowMs(), base::monotonicNow());
                     m_registered = m_registered && !change.isNewEra;
                     registerNode();
                     m_source.setPeers(m_context.view.peersOf(m_context.settings.node.name));
                     m_crashes.applyRows(change);
                     m_evidenceRows.applyRows(change);
                     m_exchange.update();
                     m_tableServer.update(ownTable, change);
                 })
    , m_exchange(base,
                 m_context.settings.node.name,
                 m_context.view,
                 m_source,
                 metrics,
                 {[this] { applyFleetEvidence(); },
                  [this] {
                      m_tableServer.answerForEvidence();
                  }})
    , m_loads(base, m_context.settings.node.name, m_context.view, m_source, metrics)
    , m_evidenceRows(m_context, m_store, m_source, m_exchange)
    , m_crashes(m_context,
                m_store,
                m_source,
                m_ownTable,
                m_exchange,
                [this] {
                    m_callers.endPoison();
                    m_forwarded.endPoison();
                })
    , m_rollouts(m_context, m_store, m_source, m_operatorTable, m_statusTable, m_exchange)
    , m_tableServer(base, [this] { return m_exchange.version(); })
    , m_shares(connectionShares(settings.limits, raiseDescriptorLimit(settings.limits)))
    , m_callers(m_context, settings.callers, RequestOrigin::Caller, m_shares.callers)
    , m_forwarded(m_context, forwardingAddress(settings), RequestOrigin::Peer, m_shares.forwarded)
    , m_reachProbe(m_context)
    , m_readiness(
          base,
          settings.readiness,
          [this](const http::Request &request, const InfoPort::Reply &reply) {
              const bool known = request.head.target == platform::readinessPath();
              reply({known ? (ready() ? http::status::ok : http::status::unavailable) : http::status::notFound, {}});
          },
          readinessLimits(settings.limits),
          m_shares.readiness)
    , m_operators(
          base,
          settings.operators,
          [this](const http::Request &request, const InfoPort::Reply &reply) { answerOperators(request, reply); },
          operatorsLimits(settings.limits),
          m_shares.operators)
    , m_tick(base, [this] { tick(); })
    , m_stopTick(base, [this] { stopTick(); })
{
    m_context.reportLostRun = [this](const LostRun &run) {
        m_crashes.recordLostRun(run);
    };
    m_context.checkPath = [this](const EngineEntry &engine) {
        m_reachProbe.checkPath(engine);
    };
    m_context.shareReport = [this](const load::Report &report) {
        m_loads.recordOwn(report);
    };
    m_source.setOnPeerChanged([this] { m_exchange.update(); });
    m_context.storeNow = [this] {
        return StoreTime(m_ownTable.storeNowMs());
    };
}

void Gateway::reload(const settings::GatewaySettings &settings)
{
    m_context.settings.bounds = settings.bounds;
    m_context.resends.setBound(resendBound(settings.bounds));
    m_context.settings.hedging = settings.hedging;
    m_context.hedges.setBound({settings.hedging.requestShare, settings.hedging.timeShare});
    m_context.settings.waiting = settings.waiting;
    for (const auto &[service, queue] : m_context.queues) {
        queue->setMaxWaiting(settings.waiting.most);
    }
    EventLog::state("reload").field("resend_ratio", settings.bounds.resendRatio);
}

void Gateway::updateGauges() const
{
    const auto now = base::monotonicNow();
    auto &metrics = m_context.metrics;
    for (const auto *watch : {&m_operatorTable, &m_engineTable, &m_statusTable, &m_ownTable}) {
        metrics.gauge("ibisfork_facts_age_ms", {{"table", watch->table()}}).set(ageMs(*watch, now));
    }
    const auto &configuration = m_context.view.configuration();
    metrics.gauge("ibisfork_configuration_version")
        .set(configuration ? static_cast<std::int64_t>(configuration->version) : 0);
    metrics.gauge("ibisfork_nodes").set(m_context.view.nodes());
    metrics.gauge("ibisfork_exchanges").set(static_cast<std::int64_t>(exchanges()));
    metrics.gauge("ibisfork_held_bytes").set(static_cast<std::int64_t>(m_context.memory->held()));
    metrics.gauge("ibisfork_held_bytes_most").set(static_cast<std::int64_t>(m_context.memory->capacity()));
    metrics.gauge("ibisfork_caller_connections").set(static_cast<std::int64_t>(m_callers.connections()));
}

void Gateway::start()
{
    for (const auto *watch : {&m_operatorTable, &m_engineTable, &m_statusTable, &m_ownTable}) {
        const bool listsEngines = watch == &m_engineTable;
        m_tableServer.add(watch->table(), *watch, listsEngines ? FleetView::isHeartbeat : TableCache::IsUnchanged());
    }
    m_operatorTable.start();
    m_engineTable.start();
    m_statusTable.start();
    m_ownTable.start();
    registerNode();
    m_tick.startEvery(tickInterval);
}

bool Gateway::ready() const
{
    return !m_context.stopping && m_callers.isOpen() && m_context.view.configuration() != nullptr
        && m_context.view.enginesLoaded();
}

PeerNode Gateway::selfWithPorts() const
{
    auto self = selfOf(m_context.settings);
    self.address = m_operators.address();
    self.forwarding = m_forwarded.address();
    self.exchangesEvidence = true;
    return self;
}

void Gateway::registerNode()
{
    // The row names the ports, which may not be known before they are open.
    const bool canBeReached = m_operators.isOpen() && m_forwarded.isOpen();
    if (m_registered || m_registering || !m_ownTable.loaded() || !canBeReached) {
        return;
    }
    const auto self = selfWithPorts();
    if (m_context.view.hasRowOf(self)) {
        // After a restart the row is still valid. Skipping the write spares the store when all nodes restart at once.
        m_registered = true;
        return;
    }
    m_registering = true;
    ConditionalWrite row;
    row.table = ownTable;
    row.key = std::string(nodePrefix) + self.name;
    row.data = encodeNodeRow(self);
    m_store.write(StoreCallCause::NodeRegistration, {row}, [this](const WriteResult &result) {
        m_registering = false;
        m_registered = result.outcome == WriteOutcome::Done;
    });
}

void Gateway::tick()
{
    const auto now = base::monotonicNow();
    m_context.view.dropExpired(now);
    m_context.view.recordOperatorVersion(m_operatorTable.version());
    m_context.pool.dropStale(now);
    m_context.peerPool.dropStale(now);
    registerNode();
    m_rollouts.tick(now);
    m_crashes.tick(now);
    m_exchange.update();
    m_loads.update();
    m_evidenceRows.tick(now);
    m_reachProbe.tick();
    m_context.results.tick(now);
    if (ready() != m_wasReady) {
        m_wasReady = ready();
        EventLog::state("ready").field("ready", m_wasReady);
    }
}

void Gateway::stop(std::function<void()> stopped)
{
    if (m_stopBegan) {
        return;
    }
    m_stopped = std::move(stopped);
    m_stopBegan = base::monotonicNow();
    m_context.stopping = true;
    EventLog::state("stopping").field("exchanges", exchanges()).field("connections", m_callers.connections());
    m_stopTick.startEvery(stopTickInterval);
}

void Gateway::stopTick()
{
    const auto elapsed = base::monotonicNow() - *m_stopBegan;
    const base::Duration grace = m_context.settings.bounds.shutdownGrace;
    const auto margin = cutOffMargin(grace);
    const auto cutOffAt = grace - margin;
    m_context.endsRequestsAt = *m_stopBegan + cutOffAt;
    if (elapsed >= cutOffAt && exchanges() > 0) {
        EventLog::state("stop_cuts_off").field("exchanges", exchanges());
        m_callers.abortAll();
        m_forwarded.abortAll();
    }
    if (elapsed >= cutOffAt) {
        m_callers.refuseUnfinished();
        m_forwarded.refuseUnfinished();
    }
    if (elapsed >= balancerDelay) {
        m_context.rejectsNewStreams = true;
        m_callers.closeIdle();
        m_forwarded.closeIdle();
    }
    // A connection without a request may still be taking its last answer.
    const bool idle = exchanges() == 0 && m_callers.connections() == 0 && m_forwarded.connections() == 0;
    if ((idle && elapsed >= minShutdownTime) || elapsed >= cutOffAt + margin / 2) {
        m_stopTick.stop();
        EventLog::state("stopped").field("after_ms", base::toMilliseconds(elapsed));
        m_stopped();
    }
}

void Gateway::applyFleetEvidence()
{
    const auto others = m_exchange.others();
    std::map<std::string, std::vector<RolloutEvidence>> sums;
    for (const auto &item : others.rollouts) {
        sums[item.service].push_back(item.evidence);
    }
    for (const auto &[service, evidence] : sums) {
        m_context.view.rollouts().setFleetEvidence(service, evidence);
    }
    m_crashes.applyFleetEvidence(others.crashes);
    m_evidenceRows.tick(base::monotonicNow());
}

void Gateway::answerOperators(const http::Request &request, const InfoPort::Reply &reply)
{
    const auto &target = request.head.target;
    if (const auto query = decodeQuery(target)) {
        m_tableServer.handleQuery(*query, [reply](const TableServer::Answer &answer) {
            reply({answer.status, answer.body});
        });
    } else if (target == evidence::exchangePath) {
        const auto answer = m_exchange.handle(std::string(request.body.view()));
        reply({answer.status, answer.body});
    } else if (target == loads::exchangePath) {
        const auto answer = m_loads.handle(std::string(request.body.view()));
        reply({answer.status, answer.body});
    } else if (target == "/metrics") {
        updateGauges();
        reply({http::status::ok, m_context.metrics.render()});
    } else if (target == "/status") {
        reply({http::status::ok, statusDocument()});
    } else {
        reply({http::status::notFound, {}});
    }
}

nlohmann::json Gateway::evidenceDocument() const
{
    const auto now = base::monotonicNow();
    auto held = nlohmann::json::array();
    for (const auto &[incarnation, entry] : m_exchange.held()) {
        auto services = nlohmann::json::array();
        for (const auto &item : entry.evidence.rollouts) {
            services.push_back(item.first);
        }
        held.push_back({{"node", entry.evidence.node},
                        {"incarnation", fmt::format("{:016x}", incarnation)},
                        {"serial", entry.evidence.serial},
                        {"age_ms", base::toMilliseconds(now - entry.heardAt)},
                        {"rollouts", services},
                        {"engines_ended", entry.evidence.crashes.reports.size()}});
    }
    return {{"sums_from", m_exchange.upstream()}, {"undelivered", m_exchange.isUndelivered()}, {"held", held}};
}

std::string Gateway::statusDocument() const
{
    const auto now = base::monotonicNow();
    const auto &view = m_context.view;
    nlohmann::json out{{"node", m_context.settings.node.name},
                       {"ready", ready()},
                       {"reads_store", m_source.isReader()},
                       {"nodes", view.nodes()},
                       {"store_era", m_source.era()},
                       {"configuration", view.configuration() ? view.configuration()->version : 0},
                       {"evacuated", view.evacuatedDomains()},
                       {"rollouts", nlohmann::json::object()},
                       {"evidence", evidenceDocument()},
                       {"engines", nlohmann::json::array()}};
    for (const auto *watch : {&m_operatorTable, &m_engineTable, &m_statusTable, &m_ownTable}) {
        out["age_ms"][watch->table()] = ageMs(*watch, now);
    }
    for (const auto &service : view.rollouts().servicesWithOrders()) {
        out["rollouts"][service] = view.rollouts().evidence(service);
    }
    for (const auto &[service, queue] : m_context.queues) {
        out["queues"][service] = {{"waiting", queue->queue().size()},
                                  {"by_workspace", queue->queue().waitingByWorkspace()},
                                  {"run_ms", base::toMilliseconds(queue->queue().meanServiceTime())},
                                  {"release_ms", base::toMilliseconds(queue->queue().releaseInterval())}};
    }
    for (const auto &[id, engine] : view.engines().all()) {
        const auto reportAge = engine.reportAge(now);
        out["engines"].push_back(
            {{"id", id},
             {"service", engine.entry.service},
             {"failure_domain", engine.entry.failureDomain},
             {"software", engine.entry.softwareVersion},
             {"leaving", engine.leaving},
             {"cold", engine.isCold(now)},
             {"refusal_limit", engine.refusalLimit ? nlohmann::json(*engine.refusalLimit) : nlohmann::json()},
             {"start_limit", engine.startLimit ? nlohmann::json(*engine.startLimit) : nlohmann::json()},
             {"in_flight", engine.inFlight},
             {"expected_load", engine.expectedLoad(now, view.nodes())},
             {"slots", engine.entry.slots},
             {"report_ms", reportAge ? base::toMilliseconds(*reportAge) : -1},
             {"pace_reported", engine.pace.reportedAt(now)},
             {"pace_learned", engine.pace.learned()},
             {"fault_share", engine.faultShare}});
    }
    return out.dump();
}

} // namespace ibisfork::gateway
