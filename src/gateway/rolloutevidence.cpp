#include "gateway/rolloutevidence.h"

#include <algorithm>

#include <nlohmann/json.hpp>

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
constexpr policy::StepTestBounds testBounds{5e-3, 1e-2};
/// On each route with at least this share of the old version's runs, the new version must have runs, as many as are
/// this fraction of the old version's on the route, within bounds.
constexpr double minRouteShare = 0.05;
constexpr double minRunsFraction = 0.035;
constexpr double fewestRunsOnRoute = 3;
constexpr double mostRunsOnRoute = 10;

policy::StepTest testOf(const RunTally &tally, const policy::FailureRates &rates)
{
    policy::StepTest test(rates, testBounds);
    test.observe(tally.judged, tally.bad);
    return test;
}

policy::FailureRates ratesAgainst(const RunTally &old)
{
    const double healthy = std::clamp(healthyFactor * old.badShare(), minHealthyRate, maxHealthyRate);
    return {healthy, healthy + badMargin};
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
        out[route] = {tally.judged, tally.bad};
    }
    return out;
}

std::map<std::string, RunTally> decodeTallies(const json &document)
{
    std::map<std::string, RunTally> out;
    for (const auto &[route, counts] : document.items()) {
        const auto judged = counts.at(0).get<unsigned>();
        out[route] = {judged, std::min(judged, counts.at(1).get<unsigned>())};
    }
    return out;
}

} // namespace

void RunTally::add(const RunVerdict &verdict)
{
    judged += verdict.isRevised ? 0 : 1;
    bad += verdict.quality == RunQuality::Good ? 0 : 1;
}

void RunTally::add(const RunTally &other)
{
    judged += other.judged;
    bad += other.bad;
}

void RolloutEvidence::addEngine(const std::string &engineId)
{
    insertBounded(engines, engineId);
}

void RolloutEvidence::addNew(const RunVerdict &verdict)
{
    auto &tally = newRuns[verdict.run.kind.route];
    tally.add(verdict);
    // A run judged good in an earlier step may be revised in this one.
    tally.judged = std::max(tally.judged, tally.bad);
    insertBounded(engines, verdict.run.engineId);
    if (verdict.quality != RunQuality::Good) {
        insertBounded(badEngines, verdict.run.engineId);
    }
}

void RolloutEvidence::addOld(const RunVerdict &verdict)
{
    auto &tally = oldRuns[verdict.run.kind.route];
    tally.add(verdict);
    tally.judged = std::max(tally.judged, tally.bad);
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

policy::FailureRates RolloutEvidence::ratesOn(const std::string &route) const
{
    const auto old = oldRuns.find(route);
    return ratesAgainst(old == oldRuns.end() ? RunTally{} : old->second);
}

bool RolloutEvidence::showsBadVersion() const
{
    if (blamesOneEngine()) {
        return false;
    }
    return testOf(allNew(), ratesAgainst(allOld())).bad()
        || std::any_of(newRuns.begin(), newRuns.end(), [this](const auto &item) {
               return testOf(item.second, ratesOn(item.first)).bad();
           });
}

bool RolloutEvidence::showsGoodVersion() const
{
    const auto old = allOld();
    if (!testOf(allNew(), ratesAgainst(old)).passed()) {
        return false;
    }
    const bool suspicious = std::any_of(newRuns.begin(), newRuns.end(), [this](const auto &item) {
        return testOf(item.second, ratesOn(item.first)).evidence() > 0;
    });
    const bool untried = std::any_of(oldRuns.begin(), oldRuns.end(), [&](const auto &item) {
        const auto next = newRuns.find(item.first);
        const double wanted = std::clamp(minRunsFraction * item.second.judged, fewestRunsOnRoute, mostRunsOnRoute);
        const bool few = next == newRuns.end() || next->second.judged < wanted;
        return few && item.second.judged >= minRouteShare * old.judged;
    });
    return !suspicious && !untried;
}

std::string encodeEvidence(const std::string &service, const std::string &node, const RolloutEvidence &evidence)
{
    return json{{"service", service},
                {"node", node},
                {"order_row", evidence.orderRow},
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
        return StoredEvidence{document.at("service").get<std::string>(),
                              document.at("node").get<std::string>(),
                              {document.at("order_row").get<std::uint64_t>(),
                               *step,
                               decodeTallies(document.at("new")),
                               decodeTallies(document.at("old")),
                               document.at("engines").get<std::set<std::string>>(),
                               document.at("bad_engines").get<std::set<std::string>>()}};
    } catch (const json::exception &) {
        // The caller logs the row.
        return std::nullopt;
    }
}

} // namespace ibisfork::gateway
