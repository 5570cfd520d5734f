#include "world.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "domains.h"
#include "http/status.h"
#include "times.h"

namespace ibisfork::soak {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto beatInterval = 1200ms;
constexpr auto watchInterval = 300ms;
constexpr auto readyTimeout = 500ms;
constexpr auto startWithin = 10s;
/// Quiet time behind the plan; requests sent in its second part must all be served.
constexpr auto settleTime = 6s;
constexpr auto servedTime = 2s;
constexpr auto lastAnswers = 6s;
/// A replacement ends within the grace of a node and the time that one needs to start.
constexpr auto longestReplacement = 20s;
constexpr unsigned engineSlots = 32;
constexpr std::chrono::milliseconds longestReservation{2000};
constexpr const char *movingPath = "/moving/";
constexpr const char *firstKey = "key-1";
constexpr const char *secondKey = "key-2";
constexpr const char *unknownKey = "no-key";
constexpr unsigned unknownKeyOneIn = 40;

/// What callers of a crowd do, one after the other.
constexpr std::array habitsOfCrowd{Habit::Usual,
                                   Habit::LongBodies,
                                   Habit::AsksUnusualEngines,
                                   Habit::LongBodies,
                                   Habit::ReadsSlowly,
                                   Habit::AsksUnusualEngines,
                                   Habit::LongBodies,
                                   Habit::ReadsSlowly};
constexpr std::array unusualPaths{longBodyPath, longAnswerPath, "/any/", "/odd/"};
constexpr std::size_t usualBodyBytes = 10000;
constexpr std::size_t crowdBodyBytes = 4194304;
/// Attempts that routes with models allow.
constexpr unsigned attemptsWithModels = 3;

/// Times that operators choose between.
struct Times
{
    std::chrono::milliseconds timeout;
    std::chrono::milliseconds pauseObjective;
    std::chrono::milliseconds idleLimit;
};
constexpr Times firstTimes{4000ms, 300ms, 15000ms};
constexpr Times otherTimes{3500ms, 150ms, 1500ms};

json service(const std::string &name)
{
    return {{"name", name},
            {"healthPath", healthPath},
            {"maxConns", 200},
            {"engineType", {{"holdMs", longestReservation.count()}}}};
}

} // namespace

World::World(WorldSettings settings)
    : m_settings(std::move(settings))
    , m_base(net::makeEventBase())
    , m_random(m_settings.seed)
    , m_store(m_base.get())
    , m_client(m_base.get())
    , m_beatTimer(m_base.get(), [this] { beat(); })
    , m_watchTimer(m_base.get(), [this] { watchNodes(); })
    , m_memoryTimer(m_base.get(), [this] { watchMemory(); })
{
    for (std::size_t i = 0; i < m_settings.enginesPerService * 2; ++i) {
        addEngine(fmt::format("e{}", m_engineCount++), i % 2 == 0 ? "a" : "b", i, 1);
    }
    for (std::size_t i = 0; i < m_settings.nodes; ++i) {
        addNode(i);
    }
    if (m_settings.upgrade) {
        const auto terminate = [this](std::size_t index) {
            harmNode({{}, FaultKind::TerminateNode}, index);
        };
        m_upgrade = std::make_unique<Upgrade>(m_base.get(), m_nodes, *m_settings.upgrade, m_settings.seed, terminate);
    }
    if (m_settings.crowd) {
        addCrowd();
    }
    addCallers();
}

void World::addCallers()
{
    for (std::size_t i = 0; i < m_settings.callers; ++i) {
        const auto seed = m_settings.seed + i + 1;
        const auto name = fmt::format("c{}", i);
        const auto habit = m_settings.crowd ? habitsOfCrowd.at(i % habitsOfCrowd.size()) : Habit::Usual;
        m_callers.push_back(std::make_unique<SoakCaller>(m_base.get(), m_ledger, *this, seed, name, habit));
        if (m_settings.crowd && i % habitsOfCrowd.size() == 0) {
            m_pipelining.push_back(
                std::make_unique<PipeliningCaller>(m_base.get(), m_ledger, *this, seed, fmt::format("p{}", i)));
        }
    }
}

World::~World() = default;

void World::addNode(std::size_t index)
{
    auto store = m_store.address();
    if (m_settings.nodesHavePaths) {
        auto *paths = m_paths.emplace_back(std::make_unique<NodePaths>(m_base.get())).get();
        store = m_store.openView([paths](const std::string &table, const std::string &, const std::string &data) {
            return table == "servers" ? paths->rewrite(data) : data;
        });
    }
    m_nodes.push_back(std::make_unique<NodeProcess>(m_base.get(), store, m_settings.folder, index));
    if (!m_settings.daemon.empty()) {
        m_nodes.back()->setDaemon(m_settings.daemon);
    }
}

void World::addEngine(const std::string &id, const std::string &service, std::size_t index, std::int64_t born)
{
    if (m_engines.size() <= index) {
        m_engines.resize(index + 1);
    }
    auto &slot = m_engines[index];
    const EngineIdentity identity{id, service, domainOf(index), born};
    slot.engine = std::make_unique<SoakEngine>(m_base.get(), m_ledger, identity);
    slot.link = std::make_unique<gateway::test::FaultProxy>(m_base.get(), slot.engine->address());
    slot.state = "ready";
    list(slot);
}

void World::list(EngineSlot &slot)
{
    const auto &identity = slot.engine->identity();
    m_store.put("servers",
                identity.id,
                json{{"service", identity.service},
                     {"address", slot.link->address().text()},
                     {"zone", identity.domain},
                     {"version", "v1"},
                     {"slots", engineSlots},
                     {"state", slot.state},
                     {"coldLeftMs", 0},
                     {"born", identity.born},
                     {"seq", ++slot.heartbeats}}
                    .dump());
}

void World::listUnusual(UnusualEngine &engine)
{
    const auto &identity = engine.identity();
    m_store.put("servers",
                identity.id,
                json{{"service", identity.service},
                     {"address", engine.address().text()},
                     {"zone", identity.domain},
                     {"version", "v1"},
                     {"slots", engineSlots},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"born", identity.born},
                     {"seq", ++m_unusualHeartbeats}}
                    .dump());
}

void World::beat()
{
    for (auto &engine : m_unusual) {
        if (!m_storeAway) {
            listUnusual(*engine);
        }
    }
    for (auto &slot : m_engines) {
        if (slot.engine && !m_storeAway) {
            list(slot);
        }
    }
}

json World::route(const std::string &path, const char *kind, const std::string &service, unsigned attempts) const
{
    const auto &times = m_otherTimes ? otherTimes : firstTimes;
    return {{"name", "r" + path},
            {"hostname", "h.example"},
            {"pathPrefix", path},
            {"routeType", kind},
            {"timeoutMs", times.timeout.count()},
            {"goalMs", 300},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", attempts},
            {"public", false},
            {"resumable", kind == std::string_view("streaming")},
            {"itlTargetMs", times.pauseObjective.count()}};
}

void World::configure()
{
    const auto &times = m_otherTimes ? otherTimes : firstTimes;
    json keys = json::array({firstKey});
    if (m_secondKey) {
        keys.push_back(secondKey);
    }
    m_configuration += 3;
    auto routes = json::array({route("/read/", "idempotent", "a", 2),
                               route("/book/", "non_idempotent", "b", 1),
                               route("/stream/", "streaming", m_streamsTo, streamAttempts),
                               route(movingPath, "non_idempotent", m_movingTo, 1)});
    auto services = json::array({service("a"), service("b")});
    if (m_settings.hasUnsureModels) {
        for (auto &usual : routes) {
            usual["sizes"] = {smallModel, "large"};
            // Only what the route allows keeps a request from a second run.
            usual["maxAttempts"] = attemptsWithModels;
        }
    }
    if (m_settings.crowd) {
        for (const auto *path : unusualPaths) {
            routes.push_back(route(path, path == std::string_view("/odd/") ? "non_idempotent" : "idempotent", "c", 2));
        }
        services.push_back({{"name", "c"}, {"healthPath", healthPath}, {"maxConns", 200}});
    }
    const json document{{"version", m_configuration},
                        {"routes", routes},
                        {"services", services},
                        {"limits",
                         {{"maxHeaderBytes", 4096},
                          {"maxBodyBytes", m_settings.crowd ? crowdBodyBytes : usualBodyBytes},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", times.idleLimit.count()}}},
                        {"tenants", {{{"name", "w1"}, {"apiKeys", keys}}}}};
    m_store.put("op", "config", document.dump());
    const auto now = base::monotonicNow();
    m_ledger.allow(movingPath, m_movingTo, now);
    m_ledger.allow("/stream/", m_streamsTo, now);
    m_ledger.timeout(times.timeout, now);
    if (!m_secondKey) {
        m_ledger.revoke(secondKey, now);
    }
}

std::optional<Balancer::Choice> World::choose()
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->ready) {
            ready.push_back(i);
        }
    }
    if (ready.empty()) {
        return std::nullopt;
    }
    const auto node = ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(m_random)];
    return Choice{node, m_nodes[node]->callers()};
}

std::string World::key()
{
    const auto drawn = std::uniform_int_distribution<unsigned>(0, unknownKeyOneIn - 1)(m_random);
    if (drawn == 0) {
        return unknownKey;
    }
    return m_secondKey && drawn % 2 == 0 ? secondKey : firstKey;
}

void World::watchNodes()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->ended()) {
            checkEndOfProcess(i);
            m_nodes[i]->kill();
            m_nodes[i]->start();
        }
        if (m_nodes[i]->readAddresses()) {
            askReady(i);
        }
    }
}

void World::checkEndOfProcess(std::size_t index)
{
    const auto &node = *m_nodes[index];
    if (!node.stopping()) {
        m_ledger.broken(fmt::format("node {} ended by itself with {}; its log is {}", index, node.end(), node.log()));
    } else if (node.end() != "exit 0") {
        m_ledger.broken(
            fmt::format("node {} was asked to end and did so with {}; its log is {}", index, node.end(), node.log()));
    }
}

void World::askReady(std::size_t index)
{
    auto &node = *m_nodes[index];
    const auto bytes = fmt::format("GET /ibisfork/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", node.readiness().text());
    m_client.send(node.readiness(), bytes, readyTimeout, [&node](const http::CallAnswer &answer) {
        node.ready = answer.head.status == http::status::ok;
    });
}

void World::runFor(base::Duration time)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    const timeval delay{microseconds / 1000000, microseconds % 1000000};
    event_base_loopexit(m_base.get(), &delay);
    event_base_dispatch(m_base.get());
}

bool World::waitReady()
{
    const auto end = base::monotonicNow() + startWithin;
    const auto allReady = [this] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) { return node->ready; });
    };
    while (!allReady() && base::monotonicNow() < end) {
        runFor(watchInterval);
    }
    return allReady();
}

void World::run(const std::vector<Fault> &plan)
{
    configure();
    m_ledger.allow("/read/", "a", {});
    m_ledger.allow("/book/", "b", {});
    for (const auto *path : unusualPaths) {
        m_ledger.allow(path, "c", {});
    }
    for (auto &node : m_nodes) {
        node->start();
    }
    m_beatTimer.startEvery(beatInterval);
    m_watchTimer.startEvery(watchInterval);
    if (!waitReady()) {
        m_ledger.broken("the nodes do not get ready");
        return;
    }
    for (auto &caller : m_callers) {
        caller->start();
    }
    for (auto &caller : m_pipelining) {
        caller->start();
    }
    for (const auto &fault : plan) {
        after(fault.at, [this, fault] { apply(fault); });
    }
    if (m_settings.crowd) {
        // Long bodies take the engines' time, so that requests may come near their limits.
        const auto now = base::monotonicNow();
        m_ledger.hindrances.note(std::nullopt, now, now + m_settings.length + settleTime);
    }
    if (m_upgrade) {
        m_upgrade->start();
    }
    runFor(m_settings.length);
    calmCrowdDown();
    finishUpgrade();
    runFor(settleTime);
    const auto quietFrom = base::monotonicNow();
    runFor(servedTime);
    for (auto &caller : m_callers) {
        caller->stop();
    }
    for (auto &caller : m_pipelining) {
        caller->stop();
    }
    const auto end = base::monotonicNow() + lastAnswers;
    const auto idle = [this] {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const auto &caller) { return caller->idle(); })
            && std::all_of(m_pipelining.begin(), m_pipelining.end(), [](const auto &caller) { return caller->idle(); });
    };
    while (!idle() && base::monotonicNow() < end) {
        runFor(watchInterval);
    }
    checkQuietTime(quietFrom);
    for (const auto &promise : unfairLosses(m_ledger, m_losses)) {
        m_ledger.broken(promise);
    }
    m_ledger.close();
}

void World::finishUpgrade()
{
    const auto end = base::monotonicNow() + longestReplacement * m_nodes.size();
    while (m_upgrade && !m_upgrade->done() && base::monotonicNow() < end) {
        runFor(watchInterval);
    }
    if (m_upgrade && !m_upgrade->done()) {
        m_ledger.broken("the nodes are not replaced in time");
    }
}

void World::checkQuietTime(base::TimePoint from)
{
    std::size_t sent = 0;
    for (const auto &[id, request] : m_ledger.all()) {
        if (request.sentAt < from || request.key == unknownKey) {
            continue;
        }
        ++sent;
        if (request.status != http::status::ok) {
            m_ledger.broken(fmt::format("{} was answered {} though all was quiet again", id, request.status));
        }
    }
    if (sent == 0) {
        m_ledger.broken("nothing was sent after all was quiet again");
    }
}

void World::after(base::Duration delay, std::function<void()> step)
{
    m_later.push_back(std::make_unique<net::Timer>(m_base.get(), std::move(step)));
    m_later.back()->startOnce(delay);
}

void World::disturbPaths(std::optional<std::size_t> node, base::Duration lasts)
{
    const auto now = base::monotonicNow();
    m_ledger.pathDisturbances.note(node, now, now + lasts);
    disturb(node, lasts);
}

void World::disturb(std::optional<std::size_t> node, base::Duration lasts)
{
    const auto now = base::monotonicNow();
    m_ledger.disturbances.note(node, now, now + lasts);
    m_ledger.unplanned.note(node, now, now + lasts);
}

void World::disturbFleetState(base::Duration lasts)
{
    const auto now = base::monotonicNow();
    m_ledger.disturbances.note(std::nullopt, now, now + lasts);
}

} // namespace ibisfork::soak
