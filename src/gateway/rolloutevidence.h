#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <ibisfork/base/names.h>

#include "gateway/rowversion.h"
#include "gateway/runmonitor.h"
#include "policy/failurerates.h"

namespace ibisfork::gateway {

/// Steps of a rollout; each one sends more requests to the new version than the one before.
enum class RolloutStep {
    Trial, ///< A few requests that belong to no session.
    Partial, ///< A part of all requests.
    Full, ///< All requests.
};
inline constexpr std::array<base::Name<RolloutStep>, 3> rolloutStepNames{{
    {RolloutStep::Trial, "trial"},
    {RolloutStep::Partial, "partial"},
    {RolloutStep::Full, "full"},
}};

/// Number of judged runs, and how many of them were late and how many failed.
struct RunTally
{
    unsigned judged = 0;
    unsigned late = 0;
    unsigned failed = 0;

    void add(const RunVerdict &verdict);
    void add(const RunTally &other);
    unsigned bad() const { return late + failed; }
    /// Number of runs of @p quality, which must be Late or Failed.
    unsigned of(RunQuality quality) const { return quality == RunQuality::Late ? late : failed; }

    bool operator==(const RunTally &) const = default;
};

/// Qualities that speak against a version. They are tested each by itself: where many runs of both versions are late
/// for want of capacity, failures of the new one alone would go unnoticed in the sum.
inline constexpr std::array<RunQuality, 2> badQualities{RunQuality::Late, RunQuality::Failed};

/// Judged runs of both versions of a rollout, at one node or summed over several.
struct RolloutEvidence
{
    RowVersion orderRow{};
    RolloutStep step = RolloutStep::Trial;
    /// Runs of the new version in this step, by route.
    std::map<std::string, RunTally> newRuns{};
    /// Runs of the old version since the order, by route.
    std::map<std::string, RunTally> oldRuns{};
    /// Engines of the new version that run requests, and those with bad runs; at most maxEngines of each are kept.
    std::set<std::string> engines{};
    std::set<std::string> badEngines{};

    static constexpr std::size_t maxEngines = 2;

    void addEngine(const std::string &engineId);
    void addNew(const RunVerdict &verdict);
    void addOld(const RunVerdict &verdict);
    /// Adds the evidence of another node for the same order. That of another step says only what is usual.
    void add(const RolloutEvidence &other);

    RunTally allNew() const;
    RunTally allOld() const;
    /// Rates of runs of @p quality that tell a good new version from a bad one on @p route, given the old version's.
    policy::FailureRates ratesOn(const std::string &route, RunQuality quality) const;
    /// The bad runs are all of one engine, although others have run requests too.
    bool blamesOneEngine() const { return badEngines.size() == 1 && engines.size() > 1; }
    /// The runs show a bad version, in total or on one route. @p nodes: number of nodes that each test what they know.
    bool showsBadVersion(unsigned nodes) const;
    /// The runs are enough, and good enough on each route, to go on after this step.
    bool showsGoodVersion() const;

    bool operator==(const RolloutEvidence &) const = default;
};

/// Field of a stored row that says which start of the node's process has told it; rows of earlier builds lack it.
inline constexpr const char *incarnationField = "incarnation";

/// Encodes the evidence of @p node about @p service as the JSON text that is stored.
std::string encodeEvidence(const std::string &service, const std::string &node, const RolloutEvidence &evidence);

/// Evidence that a node has stored.
struct StoredEvidence
{
    std::string service;
    std::string node;
    RolloutEvidence evidence;
    /// It is also exchanged between nodes, which then go by that.
    bool isExchanged = false;
};

/// Decodes stored evidence; nothing if @p text is not valid.
std::optional<StoredEvidence> decodeEvidence(const std::string &text);

} // namespace ibisfork::gateway
