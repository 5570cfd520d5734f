#include "gateway/placement.h"

#include <algorithm>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

/// Cost of an engine whose runs all fail; 1 is the load of an engine whose slots are all taken.
constexpr double faultCost = 3.0;
/// Cost added for an engine that is cold.
constexpr double coldCost = 0.3;
/// Unprocessed prompt tokens that delay further requests as much as if all slots of the engine were taken.
constexpr double tokensPerFullEngine = 40000;
/// Breaks ties in favour of engines in this node's failure domain.
constexpr double otherDomainCost = 0.01;
/// An engine that has the shared part cached is preferred while its cost exceeds the lowest cost by at most this.
constexpr double maxCachedPartExtraCost = 0.5;

bool contains(const std::vector<std::string> &list, const std::string &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Time after which an engine with a limit is tried again while the number of nodes is not known.
constexpr std::chrono::milliseconds nodesUnknownDelay{1000};

/// A request waits this long at a time for a place at a brittle engine; runs end meanwhile.
constexpr std::chrono::milliseconds brittleRetryInterval{15};

/// This node's part of the engine's slots: an equal share, and one of those that are left over if rendezvous hashing of
/// the engine names this node for it. The shares of all nodes together fill the slots and leave the queue empty.
unsigned slotShareOf(const Engine &engine, const PlacementRequest &request)
{
    const auto nodes = std::max(1U, request.nodes);
    const auto equal = engine.entry.slots / nodes;
    const auto leftOver = engine.entry.slots % nodes;
    if (request.nodeNames == nullptr || leftOver == 0) {
        return std::max(1U, equal);
    }
    const std::vector<std::string> names(request.nodeNames->begin(), request.nodeNames->end());
    const auto named = coord::rendezvousChoose("slots/" + engine.entry.id, names, leftOver);
    return equal + (contains(named, request.node) ? 1 : 0);
}

bool isColdLimited(const Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    return request.coldRate > 0 && engine.isCold(now);
}

/// All nodes together fill the slots of an engine that has rested, and has not answered since, in this time.
constexpr std::chrono::duration<double> fillTimeAfterRest{0.25};

/// This node's starts a second at such an engine.
double startsAfterRest(const Engine &engine, const PlacementRequest &request)
{
    const double slots = std::max(1U, engine.entry.slots);
    return slots / std::max(1U, request.nodes) / fillTimeAfterRest.count();
}

std::optional<HeldEngine> restHoldOf(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    if (!engine.isUnprovenAfterRest || engine.startsAfterRest.ready(now)) {
        return std::nullopt;
    }
    return HeldEngine{&engine,
                      HoldReason::Rest,
                      engine.startsAfterRest.next(),
                      &engine.startsAfterRest,
                      startsAfterRest(engine, request)};
}

/// Operators may have set 0.
constexpr double leastObjectiveSeconds = 1e-3;

double objectiveSeconds(const PlacementRequest &request)
{
    return std::max(base::toSeconds(request.objective), leastObjectiveSeconds);
}

} // namespace

double EnginePlacement::workCost(const Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    if (request.latency != nullptr) {
        const auto expected = request.latency->firstByte(request.promptTokens, engine.loadState(now, request.nodes));
        return base::toSeconds(expected) / objectiveSeconds(request);
    }
    const auto slots = std::max(1U, engine.entry.slots);
    return engine.expectedLoad(now, request.nodes) / slots
        + static_cast<double>(engine.unansweredTokens) / tokensPerFullEngine;
}

double EnginePlacement::maxCachedPartCost(const PlacementRequest &request)
{
    if (request.latency == nullptr) {
        return maxCachedPartExtraCost;
    }
    return base::toSeconds(request.latency->reading(request.sharedTokens)) / objectiveSeconds(request);
}

double EnginePlacement::cost(const Engine &engine, const PlacementRequest &request, base::TimePoint now) const
{
    double cost = workCost(engine, request, now);
    cost += faultCost * engine.faultShare;
    cost += engine.isCold(now) ? coldCost : 0;
    cost += engine.entry.failureDomain == request.failureDomain ? 0 : otherDomainCost;
    return cost;
}

Engine *EnginePlacement::chooseBySharedPart(const std::vector<Engine *> &usable,
                                            const PlacementRequest &request,
                                            base::TimePoint now) const
{
    std::vector<double> costs;
    costs.reserve(usable.size());
    for (const auto *engine : usable) {
        costs.push_back(cost(*engine, request, now));
    }
    const double most = *std::min_element(costs.begin(), costs.end()) + maxCachedPartCost(request);
    Engine *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        const auto weight = coord::rendezvousWeight(request.sharedPart, usable[i]->entry.id);
        const bool isBetter = best == nullptr || weight > bestWeight;
        if (isBetter && costs[i] <= most) {
            best = usable[i];
            bestWeight = weight;
        }
    }
    return best;
}

Engine *EnginePlacement::chooseOfTwoRandom(const std::vector<Engine *> &usable,
                                           const PlacementRequest &request,
                                           base::TimePoint now)
{
    std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
    auto *first = usable[draw(m_random)];
    auto *second = usable[draw(m_random)];
    return cost(*second, request, now) < cost(*first, request, now) ? second : first;
}

void EnginePlacement::spreadStarts(StartRate &starts, double perSecond, base::TimePoint now)
{
    std::uniform_real_distribution<double> draw(0, 1.0 / perSecond);
    const std::chrono::duration<double> delay(draw(m_random));
    starts.delayUntil(now + std::chrono::duration_cast<base::Duration>(delay));
}

void EnginePlacement::spreadColdStarts(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    engine.coldStartsSpread = true;
    // All nodes learn of a cold engine at about the same time; if each started its first request at once, they would
    // exceed the burst together.
    if (request.nodes > request.coldBurst) {
        spreadStarts(engine.coldStarts, StartRate::shareOf(request.coldRate, request.nodes), now);
    }
}

bool EnginePlacement::isHeldAsBrittle(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    if (!engine.refusalLimit) {
        return false;
    }
    if (now < engine.refusalPauseUntil || !request.nodesKnown) {
        return true;
    }
    if (engine.slotShareNodes != request.nodes) {
        engine.slotShareNodes = request.nodes;
        engine.slotShare = slotShareOf(engine, request);
    }
    return engine.inFlight >= engine.slotShare;
}

std::optional<HeldEngine> EnginePlacement::coldHoldOf(Engine &engine,
                                                      const PlacementRequest &request,
                                                      base::TimePoint now)
{
    const bool coldLimited = isColdLimited(engine, request, now);
    engine.coldStartsSpread = engine.coldStartsSpread && coldLimited;
    if (coldLimited && !engine.coldStartsSpread) {
        spreadColdStarts(engine, request, now);
    }
    if (!coldLimited || engine.coldStarts.ready(now)) {
        return std::nullopt;
    }
    const auto share = StartRate::shareOf(request.coldRate, request.nodes);
    return HeldEngine{&engine, HoldReason::ColdRate, engine.coldStarts.next(), &engine.coldStarts, share};
}

std::optional<HeldEngine> EnginePlacement::ownLimitHoldOf(Engine &engine,
                                                          const PlacementRequest &request,
                                                          base::TimePoint now)
{
    if (!engine.startLimit) {
        return std::nullopt;
    }
    const double share = StartRate::shareOf(*engine.startLimit, request.nodes);
    HeldEngine hold{&engine, HoldReason::OwnLimit, now + nodesUnknownDelay, &engine.limitedStarts, share};
    if (!request.nodesKnown) {
        return hold;
    }
    if (!engine.limitedStartsSpread) {
        // The start by which this node learned of the limit was one of its share.
        engine.limitedStartsSpread = true;
        spreadStarts(engine.limitedStarts, share, now);
    }
    if (engine.limitedStarts.ready(now)) {
        return std::nullopt;
    }
    hold.until = engine.limitedStarts.next();
    return hold;
}

std::optional<HeldEngine> EnginePlacement::holdOf(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    if (auto hold = restHoldOf(engine, request, now)) {
        return hold;
    }
    // Also entered while the engine is brittle, to spread its first cold start.
    auto coldHold = coldHoldOf(engine, request, now);
    if (isHeldAsBrittle(engine, request, now)) {
        const auto until = std::max<base::TimePoint>(engine.refusalPauseUntil, now + brittleRetryInterval);
        return HeldEngine{&engine, HoldReason::Brittle, until};
    }
    return coldHold ? coldHold : ownLimitHoldOf(engine, request, now);
}

void EnginePlacement::recordStart(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    if (isColdLimited(engine, request, now)) {
        engine.coldStarts.recordStart(now, StartRate::shareOf(request.coldRate, request.nodes));
    }
    if (engine.startLimit) {
        engine.limitedStarts.recordStart(now, StartRate::shareOf(*engine.startLimit, request.nodes));
    }
    if (engine.isUnprovenAfterRest) {
        engine.startsAfterRest.recordStart(now, startsAfterRest(engine, request));
    }
}

PlacementDetails EnginePlacement::detailsOf(const Engine &engine,
                                            const PlacementRequest &request,
                                            bool bySharedPart,
                                            base::TimePoint now)
{
    PlacementDetails details;
    details.state = engine.loadState(now, request.nodes);
    details.bySharedPart = bySharedPart;
    details.tokensToRead
        = request.promptTokens - (bySharedPart ? std::min(request.sharedTokens, request.promptTokens) : 0);
    if (request.latency != nullptr) {
        details.expectedFirstByte = request.latency->firstByte(details.tokensToRead, details.state);
    }
    details.reportAge = engine.reportAge(now);
    return details;
}

Placement EnginePlacement::choose(const std::vector<Engine *> &candidates,
                                  const PlacementRequest &request,
                                  base::TimePoint now)
{
    std::vector<Engine *> usable;
    std::vector<Engine *> backedOff;
    Placement waiting;
    waiting.areAllHeld = !candidates.empty();
    for (auto *engine : candidates) {
        const bool isTried = contains(request.tried, engine->entry.id);
        const auto hold = isTried ? restHoldOf(*engine, request, now) : holdOf(*engine, request, now);
        waiting.areAllHeld = waiting.areAllHeld && hold;
        if (hold && (!waiting.held || hold->until < waiting.held->until)) {
            waiting.held = hold;
        }
        if (hold || isTried) {
            continue;
        }
        if (request.room && !engine->hasRoom(*request.room, now, request.nodes)) {
            waiting.isFull = true;
        } else if (now < engine->backoffUntil) {
            backedOff.push_back(engine);
        } else {
            usable.push_back(engine);
        }
    }
    // An engine that is backed off may have recovered; trying it is better than refusing the request, or than waiting
    // as long as an engine's own limit or rest may last.
    const bool mayWaitLong
        = waiting.held && (waiting.held->reason == HoldReason::OwnLimit || waiting.held->reason == HoldReason::Rest);
    if (usable.empty() && !waiting.isFull && (!waiting.held || mayWaitLong)) {
        usable = backedOff;
    }
    if (usable.empty()) {
        return waiting;
    }
    auto *affinityEngine = request.sharedPart.empty() ? nullptr : chooseBySharedPart(usable, request, now);
    auto *chosen = affinityEngine == nullptr ? chooseOfTwoRandom(usable, request, now) : affinityEngine;
    Placement placement;
    placement.engine = chosen;
    placement.details = detailsOf(*chosen, request, affinityEngine != nullptr, now);
    placement.details.candidates = usable.size();
    recordStart(*chosen, request, now);
    return placement;
}

} // namespace ibisfork::gateway
