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

/// Nodes don't see each other's starts at a cold engine, so each one uses an equal share of the rate.
double shareOf(double coldRate, unsigned nodes)
{
    return coldRate / std::max(1U, nodes);
}

} // namespace

double EnginePlacement::cost(const Engine &engine, const PlacementRequest &request, base::TimePoint now) const
{
    const auto slots = std::max(1U, engine.entry.slots);
    double cost = engine.expectedLoad(now, request.nodes) / slots;
    cost += static_cast<double>(engine.unansweredTokens) / tokensPerFullEngine;
    cost += faultCost * engine.faultShare;
    cost += engine.isCold(now) ? coldCost : 0;
    cost += engine.entry.failureDomain == request.failureDomain ? 0 : otherDomainCost;
    return cost;
}

Engine *EnginePlacement::chooseBySharedPart(const std::vector<Engine *> &usable,
                                            const PlacementRequest &request,
                                            base::TimePoint now) const
{
    double least = cost(*usable.front(), request, now);
    for (const auto *engine : usable) {
        least = std::min(least, cost(*engine, request, now));
    }
    Engine *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (auto *engine : usable) {
        const auto weight = coord::rendezvousWeight(request.sharedPart, engine->entry.id);
        const bool better = best == nullptr || weight > bestWeight;
        if (better && cost(*engine, request, now) <= least + maxCachedPartExtraCost) {
            best = engine;
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

void EnginePlacement::spreadColdStarts(Engine &engine, const PlacementRequest &request, base::TimePoint now)
{
    engine.coldStartsSpread = true;
    if (request.nodes <= request.coldBurst) {
        return;
    }
    // All nodes learn of a cold engine at about the same time; if each started its first request at once, they would
    // exceed the burst together.
    const double interval = 1.0 / shareOf(request.coldRate, request.nodes);
    std::uniform_real_distribution<double> draw(0, interval);
    const std::chrono::duration<double> delay(draw(m_random));
    engine.coldStarts.delayUntil(now + std::chrono::duration_cast<base::Duration>(delay));
}

Placement EnginePlacement::choose(const std::vector<Engine *> &candidates,
                                  const PlacementRequest &request,
                                  base::TimePoint now)
{
    std::vector<Engine *> usable;
    std::vector<Engine *> backedOff;
    std::optional<base::TimePoint> retryAt;
    const auto wait = [&](base::TimePoint until) {
        retryAt = retryAt ? std::min(*retryAt, until) : until;
    };
    for (auto *engine : candidates) {
        if (contains(request.tried, engine->entry.id)) {
            continue;
        }
        const bool limited = request.coldRate > 0 && engine->isCold(now);
        engine->coldStartsSpread = engine->coldStartsSpread && limited;
        if (limited && !engine->coldStartsSpread) {
            spreadColdStarts(*engine, request, now);
        }
        if (limited && !engine->coldStarts.ready(now)) {
            wait(engine->coldStarts.next());
        } else if (now < engine->backoffUntil) {
            backedOff.push_back(engine);
        } else {
            usable.push_back(engine);
        }
    }
    // An engine that is backed off may have recovered; trying it is better than refusing the request.
    if (usable.empty() && !retryAt) {
        usable = backedOff;
    }
    if (usable.empty()) {
        return {nullptr, retryAt, {}};
    }
    auto *affinityEngine = request.sharedPart.empty() ? nullptr : chooseBySharedPart(usable, request, now);
    auto *chosen = affinityEngine == nullptr ? chooseOfTwoRandom(usable, request, now) : affinityEngine;
    PlacementDetails details;
    details.candidates = usable.size();
    details.expectedLoad = chosen->expectedLoad(now, request.nodes);
    details.bySharedPart = affinityEngine != nullptr;
    if (chosen->reportedAt != base::TimePoint{}) {
        details.reportAge = now - chosen->reportedAt;
    }
    if (request.coldRate > 0 && chosen->isCold(now)) {
        chosen->coldStarts.recordStart(now, shareOf(request.coldRate, request.nodes));
    }
    return {chosen, std::nullopt, details};
}

} // namespace ibisfork::gateway
