#include "gateway/context.h"

#include <algorithm>

#include "gateway/eventlog.h"

namespace ibisfork::gateway {

namespace {

/// Rest of an engine that asks for one whose time can't be read.
constexpr std::chrono::milliseconds unreadableRest{1000};
/// Paths of a service are checked at most once in this time.
constexpr std::chrono::milliseconds pathCheckInterval{1000};
/// As pathCheckInterval, for one engine.
constexpr std::chrono::milliseconds onePathCheckInterval{200};
constexpr double meanWeight = 0.1;
/// Assumed time to the first byte before the first answer.
constexpr double initialFirstByteSeconds = 0.3;

} // namespace

ResendBound resendBound(const settings::FleetBounds &bounds)
{
    return {bounds.resendRatio, bounds.resendExtra, bounds.resendWindow};
}

void MovingAverage::add(double value)
{
    m_value += meanWeight * (value - m_value);
}

Context::Context(event_base *eventBase,
                 const settings::GatewaySettings &gatewaySettings,
                 base::MetricsRegistry &registry)
    : base(eventBase)
    , settings(gatewaySettings)
    , metrics(registry)
    , memory(std::make_shared<memory::MemoryBudget>(memory::budgetCapacity(gatewaySettings.limits.memory)))
    , random(std::random_device{}())
    , pool(eventBase, registry)
    , placement(random())
    , resends(resendBound(gatewaySettings.bounds))
    , hedges({gatewaySettings.hedging.requestShare, gatewaySettings.hedging.timeShare})
    , peerPool(eventBase, registry)
    , peers(random())
    , reserver(eventBase)
    , results(registry)
{ }

void Context::recordEngineUnreachable(const std::string &service, const std::string &engine)
{
    if (reach.recordUnreachable(service, engine, view.engines().ofService(service).size())) {
        onCutOff(service, engine);
    } else {
        checkPaths(service);
    }
}

void Context::checkPaths(const std::string &service)
{
    if (isPathCheckDue(m_pathsCheckedAt[service], pathCheckInterval)) {
        checkSomePaths(service, reach.failuresMissing(service, view.engines().ofService(service).size()));
    }
}

void Context::checkOnePath(const std::string &service)
{
    if (isPathCheckDue(m_onePathCheckedAt[service], onePathCheckInterval)) {
        checkSomePaths(service, 1);
    }
}

bool Context::isPathCheckDue(std::optional<base::TimePoint> &checkedAt, base::Duration interval) const
{
    const auto now = base::monotonicNow();
    const bool isDue = !checkedAt || now - *checkedAt >= interval;
    if (!isDue || !checkPath || !knowsForwardingPeers()) {
        return false;
    }
    checkedAt = now;
    return true;
}

void Context::checkSomePaths(const std::string &service, std::size_t most)
{
    const auto now = base::monotonicNow();
    auto engines = view.usableEngines(service, VersionPreference::Any);
    // A health check is a request that an engine may want to be spared.
    std::erase_if(engines, [&](const Engine *engine) {
        return reach.hasFailed(service, engine->entry.id) || engine->isResting(now) || now < engine->coldUntil;
    });
    std::shuffle(engines.begin(), engines.end(), random);
    engines.resize(std::min(engines.size(), most));
    for (const auto *engine : engines) {
        checkPath(engine->entry);
    }
}

void Context::recordEngineSilent(const std::string &service, const std::string &engine)
{
    const auto now = base::monotonicNow();
    const auto listed = view.engines().ofService(service).size();
    if (reach.recordSilent(service, engine, listed, now)) {
        onCutOff(service, engine);
        return;
    }
    const auto *known = view.engines().find(engine);
    const bool mayBeAsked = known != nullptr && !known->isResting(now);
    if (reach.isSuspected(service, listed) && checkPath && knowsForwardingPeers()) {
        if (mayBeAsked) {
            checkPath(known->entry);
        }
        checkPaths(service);
    }
}

void Context::onCutOff(const std::string &service, const std::string &engine)
{
    EventLog::state("cut_off").field("service", service).field("engine", engine);
    // A connection from before the cut may hang, and a request on it that can't be repeated would be lost.
    for (const auto *known : view.engines().ofService(service)) {
        pool.drop(known->entry.id);
    }
}

void Context::recordEngineAnswered(const std::string &service,
                                   const std::string &engine,
                                   std::optional<base::TimePoint> connectedAt)
{
    if (connectedAt) {
        view.engines().recordProcessAlive(engine, *connectedAt);
    }
    if (reach.recordAnswered(service, base::monotonicNow())) {
        EventLog::state("cut_off_ended").field("service", service).field("engine", engine);
        view.engines().forgetFaults(service);
    }
}

void Context::recordEngineLeaving(const std::string &service, const EngineProcess &engine, const std::string &requestId)
{
    metrics.counter("ibisfork_leaving_answers_total", {{"service", service}}).add();
    if (view.engines().recordLeaving(engine, base::monotonicNow())) {
        EventLog::state("engine_leaves").field("engine", engine.id).field("service", service).field("id", requestId);
    }
}

void Context::recordEngineRest(const std::string &service,
                               const EngineProcess &engine,
                               const EngineAnswer &answer,
                               const std::string &requestId)
{
    if (!answer.asksForRest()) {
        return;
    }
    const auto rest = answer.restTime.value_or(unreadableRest);
    metrics.counter("ibisfork_rests_total", {{"service", service}}).add();
    EventLog::state("engine_asks_rest")
        .field("engine", engine.id)
        .field("rest_ms", rest.count())
        .field("readable", answer.restTime.has_value())
        .field("bounded", rest > EngineTracker::maxRest)
        .field("id", requestId);
    view.engines().recordRest(engine, rest, base::monotonicNow());
}

bool Context::knowsForwardingPeers() const
{
    const auto known = view.peersOf(settings.node.name);
    return std::any_of(known.begin(), known.end(), [](const PeerNode &peer) { return peer.forwarding.has_value(); });
}

MovingAverage &Context::firstByteTime(const std::string &route)
{
    return firstByteTimes.try_emplace(route, initialFirstByteSeconds).first->second;
}

MovingAverage &Context::latencyRatio(const std::string &route)
{
    return latencyRatios.try_emplace(route, 0).first->second;
}

admission::AdmissionController *Context::queueOf(const std::string &service)
{
    if (settings.waiting.most == 0) {
        return nullptr;
    }
    auto &queue = queues[service];
    if (!queue) {
        const base::MetricsRegistry::Labels labels{{"service", service}};
        queue = std::make_unique<admission::AdmissionController>(base, metrics, labels, settings.waiting.most);
    }
    return queue.get();
}

} // namespace ibisfork::gateway
