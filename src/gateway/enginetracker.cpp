#include "gateway/enginetracker.h"

#include <algorithm>
#include <utility>

#include "gateway/enginepause.h"

namespace ibisfork::gateway {

namespace {

/// Live engines renew their entries within this time after the store is back.
constexpr std::chrono::milliseconds renewalGracePeriod{2000};
/// Without a load report, the load is estimated as this node's own requests times the number of nodes, up to this
/// factor: a few own requests say little about the requests of many nodes.
constexpr unsigned maxLoadFactor = 8;
/// How long a process that is no longer listed is remembered; no store comes back with a copy that old.
constexpr std::chrono::minutes unlistedRetention{10};
/// Weight of the newest run in the moving average of the fault share.
constexpr double faultWeight = 0.15;
/// Back-off after a fault that shows that the engine can't be used now; doubles with each consecutive fault, up to
/// maxBackoffDoublings times.
constexpr std::chrono::milliseconds initialBackoff{400};
constexpr unsigned maxBackoffDoublings = 3;
/// Back-off of a full engine, about the time of one run of a plain service, after which a slot is free again.
constexpr std::chrono::milliseconds fullBackoff{60};

} // namespace

double StartRate::shareOf(double perSecond, unsigned nodes)
{
    return std::max(perSecond, minPerSecond) / std::max(1U, nodes);
}

base::Duration StartRate::interval(double perSecond)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1.0 / perSecond));
}

void StartRate::recordStart(base::TimePoint now, double perSecond)
{
    m_next = std::max(m_next, now) + interval(perSecond);
}

base::TimePoint StartRate::promise(double perSecond)
{
    m_promised = std::max(m_next, m_promised + interval(perSecond));
    return m_promised;
}

std::optional<base::Duration> Engine::reportAge(base::TimePoint now) const
{
    return reportedAt == base::TimePoint{} ? std::nullopt : std::optional<base::Duration>(now - reportedAt);
}

bool Engine::hasFreshReport(base::TimePoint now) const
{
    const auto age = reportAge(now);
    return age && *age < load::ReportBoard::lifetime;
}

bool Engine::hasRoom(const load::RoomLimit &limit, base::TimePoint now, unsigned nodes) const
{
    if (now < fullUntil) {
        return false;
    }
    const auto age = hasFreshReport(now) ? reportAge(now) : std::nullopt;
    return load::hasRoom({expectedLoad(now, nodes), entry.slots, age, inFlight, sentSinceReport}, limit);
}

double Engine::expectedLoad(base::TimePoint now, unsigned nodes) const
{
    if (!hasFreshReport(now)) {
        return static_cast<double>(inFlight) * std::min(nodes, maxLoadFactor);
    }
    const double reportedNow = static_cast<double>(reported.running + reported.waiting) + sentSinceReport;
    const double left = reportedNow - doneSinceReport;
    return std::max(left, static_cast<double>(inFlight));
}

load::EngineState Engine::loadState(base::TimePoint now, unsigned nodes) const
{
    return {expectedLoad(now, nodes), std::max(1U, entry.slots), unansweredTokens, pace.at(now)};
}

void Engine::beginRest(base::TimePoint until)
{
    restUntil = std::max(restUntil, until);
    isUnprovenAfterRest = true;
    startsAfterRest.delayUntil(restUntil);
}

const EngineTracker::UnlistedProcess *EngineTracker::findUnlisted(const EngineEntry &entry) const
{
    const auto found = m_unlisted.find(entry.id);
    const bool isListed = m_engines.contains(entry.id);
    const bool same = found != m_unlisted.end() && found->second.startTimeMs == entry.startTimeMs && !isListed;
    return same ? &found->second : nullptr;
}

bool EngineTracker::put(const EngineEntry &entry, base::TimePoint now, Listing listing)
{
    const auto *unlisted = findUnlisted(entry);
    if (unlisted != nullptr && listing == Listing::OfOlderCopy) {
        return false;
    }
    // Without a start time a later process of the same id can't be told apart.
    const bool hasLeft = unlisted != nullptr && unlisted->leaving && entry.startTimeMs != 0;
    auto [found, isNew] = m_engines.try_emplace(entry.id);
    auto &engine = found->second;
    const bool restarted = !isNew && engine.entry.startTimeMs != entry.startTimeMs;
    const bool wasLeaving = engine.leaving;
    if (restarted) {
        // Load and fault statistics belong to the previous process; only this node's open requests carry over.
        const auto inFlight = engine.inFlight;
        engine = Engine{};
        engine.inFlight = inFlight;
    }
    engine.entry = entry;
    engine.leaving = engine.leaving || entry.draining || hasLeft;
    engine.removeAt.reset();
    if (unlisted != nullptr && unlisted->restUntil > now) {
        engine.beginRest(unlisted->restUntil);
    }
    if (entry.coldLeft > base::Duration::zero()) {
        engine.coldUntil = std::max(engine.coldUntil, now + entry.coldLeft);
    }
    return isNew || restarted || engine.leaving != wasLeaving;
}

void EngineTracker::remove(const std::string &id, bool storeUnreliable, base::TimePoint now)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end()) {
        return;
    }
    if (!storeUnreliable) {
        erase(found, now);
    } else if (!found->second.removeAt) {
        found->second.removeAt = now + renewalGracePeriod;
    }
}

void EngineTracker::erase(std::map<std::string, Engine>::iterator engine, base::TimePoint now)
{
    m_unlisted[engine->first]
        = {engine->second.entry.startTimeMs, now, engine->second.leaving, engine->second.restUntil};
    m_engines.erase(engine);
}

bool EngineTracker::recordLeaving(const EngineProcess &process, base::TimePoint now)
{
    auto *engine = find(process.id);
    if (engine == nullptr) {
        m_unlisted[process.id] = {process.startTimeMs, now, true, {}};
        return false;
    }
    const bool isCurrent = engine->entry.startTimeMs == process.startTimeMs;
    return isCurrent && !std::exchange(engine->leaving, true);
}

void EngineTracker::removeAllExcept(const std::set<std::string> &ids, bool storeUnreliable, base::TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[id, engine] : m_engines) {
        if (!ids.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        remove(id, storeUnreliable, now);
    }
}

std::vector<std::string> EngineTracker::removeExpired(base::TimePoint now)
{
    std::vector<std::string> dropped;
    for (auto item = m_engines.begin(); item != m_engines.end();) {
        const auto &goneAt = item->second.removeAt;
        if (goneAt && now >= *goneAt) {
            dropped.push_back(item->first);
            erase(item++, now);
        } else {
            ++item;
        }
    }
    std::erase_if(m_unlisted, [&](const auto &item) { return now - item.second.at > unlistedRetention; });
    return dropped;
}

Engine *EngineTracker::find(const std::string &id)
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : &found->second;
}

std::vector<Engine *> EngineTracker::ofService(const std::string &service)
{
    std::vector<Engine *> engines;
    for (auto &[id, engine] : m_engines) {
        if (engine.entry.service == service && !engine.leaving) {
            engines.push_back(&engine);
        }
    }
    return engines;
}

void EngineTracker::recordPromptRead(const std::string &id, std::uint32_t promptTokens)
{
    if (auto *engine = find(id)) {
        engine->unansweredTokens -= std::min<std::uint64_t>(engine->unansweredTokens, promptTokens);
    }
}

void EngineTracker::recordSent(const std::string &id, std::uint32_t promptTokens, base::TimePoint now)
{
    if (auto *engine = find(id)) {
        engine->lastSentAt = now;
        engine->unansweredTokens += promptTokens;
        ++engine->inFlight;
        ++engine->sentSinceReport;
    }
}

void EngineTracker::recordEnded(const std::string &id)
{
    auto *engine = find(id);
    if (engine != nullptr && engine->inFlight > 0) {
        --engine->inFlight;
        ++engine->doneSinceReport;
    }
}

void EngineTracker::recordLoad(const std::string &id, const EngineLoad &load, base::TimePoint now)
{
    if (auto *engine = find(id)) {
        takeLoad(*engine, load, now);
        engine->sentSinceReport = 0;
        engine->doneSinceReport = 0;
    }
}

void EngineTracker::recordLoadOfPeer(const load::Report &report, base::TimePoint now)
{
    auto *engine = find(report.engine);
    const bool isCurrent = engine != nullptr && engine->entry.startTimeMs == report.startTimeMs;
    if (!isCurrent || report.saidAt <= engine->reportedAt || report.saidAt > now) {
        return;
    }
    takeLoad(*engine, {report.running, report.waiting, report.slots, report.slowdown}, report.saidAt);
    // Which of this node's requests the report counts is known only if none has been sent since.
    engine->sentSinceReport
        = engine->lastSentAt > report.saidAt ? std::min(engine->sentSinceReport, engine->inFlight) : 0;
    engine->doneSinceReport = 0;
}

void EngineTracker::takeLoad(Engine &engine, const EngineLoad &load, base::TimePoint saidAt)
{
    engine.reported = load;
    engine.reportedAt = saidAt;
    if (load.slowdown) {
        engine.pace.recordReported(*load.slowdown, saidAt);
        m_latency[engine.entry.service].isPaceReported = true;
    }
}

bool EngineTracker::isPaceReported() const
{
    return std::any_of(m_latency.begin(), m_latency.end(), [](const auto &item) { return item.second.isPaceReported; });
}

std::optional<base::Duration> EngineTracker::recordFirstByte(const std::string &id,
                                                             std::uint64_t tokens,
                                                             const load::EngineState &before,
                                                             base::Duration seen,
                                                             base::TimePoint now)
{
    auto *engine = find(id);
    if (engine == nullptr || seen <= base::Duration::zero()) {
        return std::nullopt;
    }
    auto &model = m_latency[engine->entry.service].model;
    std::optional<base::Duration> expected;
    if (model.isLearned()) {
        expected = model.firstByte(tokens, before);
        auto usual = before;
        // What the engine says with the answer is how its machine was while it worked.
        usual.pace = engine->pace.reportedAt(now);
        const auto atUsual = model.firstByte(tokens, usual);
        engine->pace.recordSeen(base::toSeconds(seen) / std::max(base::toSeconds(atUsual), 1e-4));
    }
    model.record(tokens, before, seen);
    return expected;
}

const load::LatencyModel *EngineTracker::latencyOf(const std::string &service) const
{
    const auto found = m_latency.find(service);
    const bool isUsable = found != m_latency.end() && found->second.isPaceReported && found->second.model.isLearned();
    return isUsable ? &found->second.model : nullptr;
}

void EngineTracker::recordRest(const EngineProcess &process, base::Duration rest, base::TimePoint now)
{
    auto *engine = find(process.id);
    if (engine != nullptr && engine->entry.startTimeMs == process.startTimeMs) {
        engine->beginRest(now + std::min<base::Duration>(rest, maxRest));
    }
}

void EngineTracker::recordAnswered(const std::string &id, base::TimePoint now)
{
    auto *engine = find(id);
    if (engine != nullptr && !engine->isResting(now)) {
        engine->isUnprovenAfterRest = false;
    }
}

bool EngineTracker::recordStartLimit(const std::string &id, std::optional<double> perSecond)
{
    auto *engine = find(id);
    if (engine == nullptr) {
        return false;
    }
    if (!perSecond) {
        engine->limitedStarts = {};
        engine->limitedStartsSpread = false;
    }
    return std::exchange(engine->startLimit, perSecond) != perSecond;
}

bool EngineTracker::recordRefusalLimit(const std::string &id, std::optional<std::uint32_t> perSecond)
{
    auto *engine = find(id);
    if (engine == nullptr) {
        return false;
    }
    const bool isChange = engine->refusalLimit != perSecond;
    if (!perSecond) {
        engine->refusalLimit.reset();
        return isChange;
    }
    for (auto &item : m_engines) {
        if (item.second.entry.service == engine->entry.service) {
            item.second.refusalLimit = perSecond;
        }
    }
    return isChange;
}

void EngineTracker::recordRefusal(const std::string &id, unsigned nodes, base::TimePoint now)
{
    auto *engine = find(id);
    if (engine == nullptr || !engine->refusalLimit) {
        return;
    }
    // Each node may cause an equal share of the refusals.
    const double ownPerSecond = std::max(1.0, static_cast<double>(*engine->refusalLimit)) / std::max(1U, nodes);
    const std::chrono::duration<double> pause(1.0 / ownPerSecond);
    engine->refusalPauseUntil = now + std::chrono::duration_cast<base::Duration>(pause);
}

void EngineTracker::recordSuccess(const std::string &id)
{
    if (auto *engine = find(id)) {
        engine->faultsInRow = 0;
        engine->faultShare *= 1 - faultWeight;
    }
}

void EngineTracker::recordProcessAlive(const std::string &id, base::TimePoint connectedAt)
{
    auto *engine = find(id);
    // One that was opened when the engine was found silent was accepted for the same process.
    if (engine != nullptr && engine->silentSince && connectedAt <= *engine->silentSince + connectTime) {
        engine->silentSince.reset();
        engine->suspectedColdUntil = {};
    }
}

void EngineTracker::recordFault(const std::string &id,
                                EngineFault fault,
                                base::Duration coldPeriod,
                                base::TimePoint now)
{
    auto *engine = find(id);
    if (engine == nullptr) {
        return;
    }
    if (fault == EngineFault::Full) {
        engine->backoffUntil = std::max<base::TimePoint>(engine->backoffUntil, now + fullBackoff);
        engine->fullUntil = std::max<base::TimePoint>(engine->fullUntil, now + fullBackoff);
        engine->faultShare += faultWeight * (1 - engine->faultShare) / 2;
        return;
    }
    engine->faultShare += faultWeight * (1 - engine->faultShare);
    if (fault == EngineFault::Failed) {
        return;
    }
    if (fault != EngineFault::Silent) {
        engine->silentSince.reset();
    } else if (now >= engine->suspectedColdUntil) {
        engine->silentSince = now;
    }
    // All requests at an engine that pauses find it silent.
    const bool isSamePause = fault == EngineFault::Silent && now < engine->backoffUntil && engine->faultsInRow > 0;
    engine->faultsInRow += isSamePause ? 0 : 1;
    const auto backoff = initialBackoff * (1U << std::min(engine->faultsInRow - 1, maxBackoffDoublings));
    engine->backoffUntil = now + backoff;
    // The engine may have restarted without its entry showing it yet.
    engine->suspectedColdUntil = std::max<base::TimePoint>(engine->suspectedColdUntil, now + backoff + coldPeriod);
}

void EngineTracker::forgetFaults(const std::string &service)
{
    for (auto &[id, engine] : m_engines) {
        if (engine.entry.service == service) {
            engine.backoffUntil = {};
            engine.fullUntil = {};
            engine.suspectedColdUntil = {};
            engine.silentSince.reset();
            engine.faultsInRow = 0;
            engine.faultShare = 0;
        }
    }
}

} // namespace ibisfork::gateway
