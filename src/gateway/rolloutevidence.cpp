#include "gateway/rolloutevidence.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gateway/smallfleet.h"
#include "policy/steptest.h"

namespace ibisfork::gateway {

namespace {

using nlohmann::json;

/// Share of bad runs of a healthy version: this, or more if the old version's share in the same time is high.
constexpr double minHealthyRate = 0.05;
constexpr double maxHealthyRate = 0.5;
constexpr double healthyFactor = 1.25;
/// A version is bad if its share of bad runs exceeds the healthy one by this.
constexpr double badMargin = 0.35;
/// A false alarm costs a rollout that must be ordered again; a missed one, requests at a bad version.
/// The first bound is that of a small fleet.
constexpr policy::StepTestBounds testBounds{5e-3, 1e-2};
/// On each route with at least this share of the old version's runs, the new version must have runs, as many as are
/// this fraction of the old version's on the route, within bounds.
constexpr double minRouteShare = 0.05;
constexpr double minRunsFraction = 0.035;
constexpr double fewestRunsOnRoute = 3;
constexpr double mostRunsOnRoute = 10;

policy::FailureRates ratesAgainst(const RunTally &old, RunQuality quality)
{
    const double share = old.judged == 0 ? 0.0 : static_cast<double>(old.of(quality)) / old.judged;
    const double healthy = std::clamp(healthyFactor * share, minHealthyRate, maxHealthyRate);
    return {healthy, healthy + badMargin};
}

/// Bounds for a test that each of @p nodes makes. What a node knows begins with its own runs, so their tests differ.
policy::StepTestBounds boundsFor(unsigned nodes)
{
    return {testBounds.falseAlarm / smallFleetsIn(nodes), testBounds.missedAlarm};
}

policy::StepTest testOf(const RunTally &tally,
                        const RunTally &old,
                        RunQuality quality,
                        const policy::StepTestBounds &bounds = testBounds)
{
    policy::StepTest test(ratesAgainst(old, quality), bounds);
    test.observe(tally.judged, tally.of(quality));
    return test;
}

RunTally tallyOn(const std::map<std::string, RunTally> &byRoute, const std::string &route)
{
    const auto found = byRoute.find(route);
    return found == byRoute.end() ? RunTally{} : found->second;
}

RunTally sumOf(const std::map<std::string, RunTally> &byRoute)
{
    RunTally sum;
    for (const auto &[route, tally] : byRoute) {
        sum.add(tally);
    }
    return sum;
}

void addAll(std::map<std::string, RunTally> &to, const std::map<std::string, RunTally> &from)
{
    for (const auto &[route, tally] : from) {
        to[route].add(tally);
    }
}

void insertBounded(std::set<std::string> &engines, const std::string &id)
{
    if (engines.size() < RolloutEvidence::maxEngines) {
        engines.insert(id);
    }
}

json encodeTallies(const std::map<std::string, RunTally> &byRoute)
{
    auto out = json::object();
    for (const auto &[route, tally] : byRoute) {
        out[route] = {tally.judged, tally.late, tally.failed};
    }
    return out;
}

std::map<std::string, RunTally> decodeTallies(const json &document)
{
    std::map<std::string, RunTally> out;
    for (const auto &[route, counts] : document.items()) {
        out[route] = {counts.at(0).get<unsigned>(), counts.at(1).get<unsigned>(), counts.at(2).get<unsigned>()};
        out[route].judged = std::max(out[route].judged, out[route].bad());
    }
    return out;
}

} // namespace

void RunTally::add(const RunVerdict &verdict)
{
    judged += verdict.isRevised ? 0 : 1;
    late += verdict.quality == RunQuality::Late ? 1 : 0;
    failed += verdict.quality == RunQuality::Failed ? 1 : 0;
    // A run judged good in an earlier step may be revised in this one.
    judged = std::max(judged, bad());
}

void RunTally::add(const RunTally &other)
{
    judged += other.judged;
    late += other.late;
    failed += other.failed;
}

void RolloutEvidence::addEngine(const std::string &engineId)
{
    insertBounded(engines, engineId);
}

void RolloutEvidence::addNew(const RunVerdict &verdict)
{
    newRuns[verdict.run.kind.route].add(verdict);
    insertBounded(engines, verdict.run.engineId);
    if (verdict.quality != RunQuality::Good) {
        insertBounded(badEngines, verdict.run.engineId);
    }
}

void RolloutEvidence::addOld(const RunVerdict &verdict)
{
    oldRuns[verdict.run.kind.route].add(verdict);
}

void RolloutEvidence::add(const RolloutEvidence &other)
{
    addAll(oldRuns, other.oldRuns);
    if (other.step != step) {
        return;
    }
    addAll(newRuns, other.newRuns);
    for (const auto &id : other.engines) {
        insertBounded(engines, id);
    }
    for (const auto &id : other.badEngines) {
        insertBounded(badEngines, id);
    }
}

RunTally RolloutEvidence::allNew() const
{
    return sumOf(newRuns);
}

RunTally RolloutEvidence::allOld() const
{
    return sumOf(oldRuns);
}

policy::FailureRates RolloutEvidence::ratesOn(const std::string &route, RunQuality quality) const
{
    return ratesAgainst(tallyOn(oldRuns, route), quality);
}

bool RolloutEvidence::showsBadVersion(unsigned nodes) const
{
    if (blamesOneEngine()) {
        return false;
    }
    const auto next = allNew();
    const auto old = allOld();
    const auto bounds = boundsFor(nodes);
    return std::any_of(badQualities.begin(), badQualities.end(), [&](RunQuality quality) {
        return testOf(next, old, quality, bounds).bad()
            || std::any_of(newRuns.begin(), newRuns.end(), [&](const auto &item) {
                   return testOf(item.second, tallyOn(oldRuns, item.first), quality, bounds).bad();
               });
    });
}

bool RolloutEvidence::showsGoodVersion() const
{
    const auto next = allNew();
    const auto old = allOld();
    const bool passed = std::all_of(badQualities.begin(), badQualities.end(), [&](RunQuality quality) {
        return testOf(next, old, quality).passed()
            && std::all_of(newRuns.begin(), newRuns.end(), [&](const auto &item) {
                   return testOf(item.second, tallyOn(oldRuns, item.first), quality).evidence() <= 0;
               });
    });
    const bool allRoutesTried = std::all_of(oldRuns.begin(), oldRuns.end(), [&](const auto &item) {
        const auto judged = item.second.judged;
        const double wanted = std::clamp(minRunsFraction * judged, fewestRunsOnRoute, mostRunsOnRoute);
        return judged < minRouteShare * old.judged || tallyOn(newRuns, item.first).judged >= wanted;
    });
    return passed && allRoutesTried;
}

std::string encodeEvidence(const std::string &service, const std::string &node, const RolloutEvidence &evidence)
{
    return json{{"service", service},
                {"node", node},
                {"order_row", evidence.orderRow.number()},
                {"order_era", evidence.orderRow.era()},
                {"step", base::nameOf(rolloutStepNames, evidence.step)},
                {"new", encodeTallies(evidence.newRuns)},
                {"old", encodeTallies(evidence.oldRuns)},
                {"engines", evidence.engines},
                {"bad_engines", evidence.badEngines}}
        .dump();
}

std::optional<StoredEvidence> decodeEvidence(const std::string &text)
{
    try {
        const auto document = json::parse(text);
        const auto step = base::valueOf(rolloutStepNames, document.at("step").get<std::string>());
        if (!step) {
            return std::nullopt;
        }
        return StoredEvidence{
            document.at("service").get<std::string>(),
            document.at("node").get<std::string>(),
            {RowVersion(document.at("order_row").get<std::uint64_t>(), document.value("order_era", 0U)),
             *step,
             decodeTallies(document.at("new")),
             decodeTallies(document.at("old")),
             document.at("engines").get<std::set<std::string>>(),
             document.at("bad_engines").get<std::set<std::string>>()},
            document.contains(incarnationField)};
    } catch (const json::exception &) {
        // The caller logs the row.
        return std::nullopt;
    }
}

} // namespace ibisfork::gateway
