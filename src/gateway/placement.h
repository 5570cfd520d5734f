#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/enginebook.h"

namespace ibisfork::gateway {

/// What decides at which engine a request runs.
struct PlacementRequest
{
    /// Prompt part whose cached tokens are worth having; empty if there is none.
    std::string sharedPart;
    std::string failureDomain;
    /// Engines that have had this request.
    std::vector<std::string> tried;
    /// Nodes that send to the same engines.
    unsigned nodes = 1;
    /// Requests a second that all nodes together may start at a cold engine; 0: no bound.
    double coldRate = 0;
    /// Starts beyond the rate that a cold engine bears in one second.
    double coldBurst = 0;
};

/// What a choice was made by, for the log.
struct PlacementGrounds
{
    /// Engines that might have been chosen.
    std::size_t candidates = 0;
    /// Requests that the chosen one was expected to hold.
    double expectedLoad = 0;
    /// Age of the report that this follows from; nothing if there is none.
    std::optional<base::Duration> reportAge;
    /// Chosen for a part of the prompt that it has read.
    bool byPart = false;
};

/// The engine chosen, or when to ask again.
struct Placement
{
    Engine *engine = nullptr;
    /// Set if engines are there but none may take a request before this time.
    std::optional<base::TimePoint> retryAt;
    PlacementGrounds grounds;
};

/// Chooses one of @p candidates.
///
/// A request with a large shared part goes to the engine that rendezvous hashing names for the part, as long as that
/// engine is not much busier than the least busy one; so all nodes find the cached part without talking. Others go to
/// the less busy of two drawn at random, so that nodes which read the same reports don't all choose the same engine.
class EnginePlacement
{
public:
    explicit EnginePlacement(std::uint64_t seed)
        : m_random(seed)
    { }

    Placement choose(const std::vector<Engine *> &candidates, const PlacementRequest &request, base::TimePoint now);

private:
    Engine *byPart(const std::vector<Engine *> &usable, const PlacementRequest &request, base::TimePoint now) const;
    Engine *byDraw(const std::vector<Engine *> &usable, const PlacementRequest &request, base::TimePoint now);
    void spreadColdStarts(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    double cost(const Engine &engine, const PlacementRequest &request, base::TimePoint now) const;

    std::mt19937_64 m_random;
};

} // namespace ibisfork::gateway
