#pragma once

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/enginetracker.h"
#include "load/room.h"

namespace ibisfork::gateway {

/// Properties of a request and of the fleet that determine the choice of an engine.
struct PlacementRequest
{
    /// Id of the prompt part to look for in engine caches; empty if there is none.
    std::string sharedPart;
    /// Failure domain of this node.
    std::string failureDomain;
    /// Name of this node, and those of all nodes, for the shares of brittle engines.
    std::string node;
    const std::set<std::string> *nodeNames = nullptr;
    /// Tokens of the prompt, and those of its parts that other requests may share.
    std::uint64_t promptTokens = 0;
    std::uint64_t sharedTokens = 0;
    /// Target for the time to the first byte of the answer.
    base::Duration objective = std::chrono::seconds(1);
    /// How long the service's engines take; null if they are to be compared by the number of their requests.
    const load::LatencyModel *latency = nullptr;
    /// How far the request may fill an engine; nothing if it may be sent to any.
    std::optional<load::RoomLimit> room;
    /// Ids of the engines that this request was already sent to.
    std::vector<std::string> tried;
    /// Number of nodes that send to the same engines.
    unsigned nodes = 1;
    /// False until this node has read how many nodes there are; engines that name a limit are not used until then.
    bool nodesKnown = true;
    /// Requests per second that all nodes together may start at a cold engine; 0 means unlimited.
    double coldRate = 0;
    /// Starts above the rate that a cold engine tolerates within one second.
    double coldBurst = 0;
};

/// Inputs of a placement decision, for the log.
struct PlacementDetails
{
    /// Number of engines that were eligible.
    std::size_t candidates = 0;
    /// Age of the chosen engine's last load report, if there is one.
    std::optional<base::Duration> reportAge;
    /// The engine was chosen by rendezvous hashing of the shared prompt part.
    bool bySharedPart = false;
    /// Prompt tokens that the engine has to read.
    std::uint64_t tokensToRead = 0;
    /// The chosen engine's state, and the time to the first byte that follows from it where it is estimated.
    load::EngineState state{};
    std::optional<base::Duration> expectedFirstByte;
};

/// Why an engine may not be sent a request now, although it is in use.
enum class HoldReason {
    ColdRate, ///< It is cold and at its service's rate for cold engines.
    OwnLimit, ///< It names a limit of requests a second.
    Rest, ///< It has turned a request away and asked for rest.
    Brittle, ///< It is brittle, and this node's share of it is in use.
};

/// An engine that is held back, and when a request may start there.
struct HeldEngine
{
    Engine *engine = nullptr;
    HoldReason reason = HoldReason::Brittle;
    base::TimePoint until{};
    /// Paces this node's starts, at @p startsPerSecond; null if nothing does.
    StartRate *starts = nullptr;
    double startsPerSecond = 0;
};

/// Result of a placement decision: the chosen engine, or the engine to wait for.
struct Placement
{
    Engine *engine = nullptr;
    /// Set if there are engines but all of them are held back: the one that is free first.
    std::optional<HeldEngine> held;
    /// All engines are held back, also those that the request was already sent to.
    bool areAllHeld = false;
    /// No engine was chosen, and at least one was passed over for lack of room.
    bool isFull = false;
    PlacementDetails details;
};

/// Chooses the engine that runs a request.
///
/// A request with a large shared prompt part goes to the engine that rendezvous hashing selects for the part, unless
/// that engine is much busier than the least busy one; all nodes thus find the cached part without coordination. Other
/// requests go to the less busy of two engines picked at random, so that nodes which see the same load reports don't
/// all choose the same engine.
class EnginePlacement
{
public:
    explicit EnginePlacement(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Chooses one of @p candidates and counts the start if the chosen engine is cold. Returns no engine if none is
    /// eligible.
    Placement choose(const std::vector<Engine *> &candidates, const PlacementRequest &request, base::TimePoint now);

private:
    Engine *chooseBySharedPart(const std::vector<Engine *> &usable,
                               const PlacementRequest &request,
                               base::TimePoint now) const;
    Engine *chooseOfTwoRandom(const std::vector<Engine *> &usable,
                              const PlacementRequest &request,
                              base::TimePoint now);
    /// Delays the first start at a rate of @p perSecond by a random part of the interval.
    void spreadStarts(StartRate &starts, double perSecond, base::TimePoint now);
    /// True if this node's share of a brittle engine is in use.
    static bool isHeldAsBrittle(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    void spreadColdStarts(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    /// Returns why @p engine may not be sent a request at @p now; nullopt if it may.
    std::optional<HeldEngine> holdOf(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    std::optional<HeldEngine> coldHoldOf(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    std::optional<HeldEngine> ownLimitHoldOf(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    static void recordStart(Engine &engine, const PlacementRequest &request, base::TimePoint now);
    double cost(const Engine &engine, const PlacementRequest &request, base::TimePoint now) const;
    /// What the work at @p engine costs a request that finds none of its prompt cached.
    static double workCost(const Engine &engine, const PlacementRequest &request, base::TimePoint now);
    /// Extra cost up to which an engine that has the shared part cached is preferred.
    static double maxCachedPartCost(const PlacementRequest &request);
    static PlacementDetails detailsOf(const Engine &engine,
                                      const PlacementRequest &request,
                                      bool bySharedPart,
                                      base::TimePoint now);

    std::mt19937_64 m_random;
};

} // namespace ibisfork::gateway
