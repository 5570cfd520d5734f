#include "routing/versionchooser.h"

#include <algorithm>
#include <cmath>

#include <ibisfork/coord/rendezvous.h>
#include <ibisfork/fleet/rollout.h>

namespace ibisfork::routing {

namespace {

template<typename Value>
bool contains(const std::vector<Value> &values, const Value &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

/// Returns a uniform hash in [0, 1) of session and version that is the same on every node.
double draw(const std::string &affinityKey, const std::string &version)
{
    constexpr int droppedBits = 11;
    constexpr int keptBits = 53;
    return std::ldexp(static_cast<double>(coord::rendezvousWeight(affinityKey, version) >> droppedBits), -keptBits);
}

} // namespace

VersionChooser::VersionChooser(const fleet::Config &config)
    : m_config(config)
{
    for (const auto &[name, workspace] : config.workspaces) {
        m_plans.emplace(name, planFor(workspace));
    }
}

VersionChooser::Candidate VersionChooser::candidateOf(const fleet::Version &version,
                                                      const fleet::Workspace &workspace) const
{
    Candidate candidate{&version, version.id.text(), std::nullopt};
    if (!contains(workspace.versions, version.id)) {
        candidate.closed = ExclusionReason::NotPermitted;
    } else if (version.state == fleet::VersionState::Withdrawn) {
        candidate.closed = ExclusionReason::Withdrawn;
    } else if (version.state == fleet::VersionState::RollingOut) {
        const auto exposure = fleet::exposureOf(m_config, version);
        candidate.rollingOut = !exposure.whole;
        candidate.share = exposure.share;
        candidate.capped = exposure.capped;
        if (exposure.halted) {
            candidate.closed = ExclusionReason::Halted;
        }
    }
    return candidate;
}

VersionChooser::Plan VersionChooser::planFor(const fleet::Workspace &workspace) const
{
    Plan plan;
    for (const auto &[id, version] : m_config.versions) {
        plan.direct.push_back(candidateOf(version, workspace));
    }
    const auto target = workspace.rules.qualityTarget;
    const auto rank = [target](const Candidate &candidate) {
        return candidate.closed ? 0 : candidate.version->expectedQuality >= target ? 1 : 2;
    };
    std::stable_sort(plan.direct.begin(), plan.direct.end(), [&](const Candidate &left, const Candidate &right) {
        if (rank(left) != rank(right)) {
            return rank(left) < rank(right);
        }
        return rank(left) == 1 ? left.version->costPerRequest < right.version->costPerRequest
                               : left.version->expectedQuality > right.version->expectedQuality;
    });
    for (std::size_t place = 0; place < plan.direct.size(); ++place) {
        const auto &candidate = plan.direct[place];
        if (rank(candidate) == 1) {
            plan.cheapestGood = plan.good++ == 0 ? candidate.version->costPerRequest : plan.cheapestGood;
        } else if (rank(candidate) == 2 && candidate.version->reportsConfidence && plan.good > 0
                   && candidate.version->costPerRequest < plan.cheapestGood) {
            plan.cheap.push_back(place);
        }
    }
    std::stable_sort(plan.cheap.begin(), plan.cheap.end(), [&](std::size_t left, std::size_t right) {
        return plan.direct[left].version->costPerRequest < plan.direct[right].version->costPerRequest;
    });
    return plan;
}

std::optional<ExclusionReason> VersionChooser::refusal(const Candidate &candidate, const RoutingQuery &query) const
{
    const auto &version = *candidate.version;
    if (candidate.closed) {
        return candidate.closed;
    }
    const bool held = query.sessionVersion && *query.sessionVersion == version.id;
    const bool named = query.model == candidate.text;
    if (query.sessionVersion ? !held : !(named || query.model.empty() || query.model == version.id.model)) {
        return ExclusionReason::OtherModel;
    }
    if (contains(query.triedVersions, version.id)) {
        return ExclusionReason::Tried;
    }
    if (query.costSoFar + version.costPerRequest > query.workspace->rules.costBound) {
        return ExclusionReason::OverCost;
    }
    // Sessions keep their version and requests may name one explicitly, so neither is subject to the share of the
    // roll-out. Both still count as exposure.
    if (candidate.rollingOut && !held && !named && draw(query.affinityKey, candidate.text) >= candidate.share) {
        return ExclusionReason::NotSampled;
    }
    const bool capped = candidate.capped && !held;
    if (candidate.rollingOut && !(query.mayExpose && query.mayExpose(version.id, capped))) {
        return ExclusionReason::ExposureDenied;
    }
    return std::nullopt;
}

std::vector<const fleet::Version *> VersionChooser::choose(const RoutingQuery &query,
                                                           std::vector<ExcludedCandidate> &leftOut) const
{
    std::vector<const fleet::Version *> chosen;
    const auto plan = m_plans.find(query.workspace->name);
    if (plan == m_plans.end()) {
        return chosen;
    }
    std::vector<const fleet::Version *> fresh;
    for (const auto &candidate : plan->second.direct) {
        if (const auto reason = refusal(candidate, query)) {
            leftOut.push_back({candidate.text, *reason});
        } else if (candidate.rollingOut) {
            fresh.push_back(candidate.version);
        } else {
            chosen.push_back(candidate.version);
        }
    }
    // A cascade starts with the cheapest version that leaves enough of the cost bound for one that meets the quality
    // target.
    if (query.mayEscalate && query.workspace->rules.cascade && query.triedVersions.empty()) {
        auto place = chosen.begin();
        for (const auto index : plan->second.cheap) {
            const auto *version = plan->second.direct[index].version;
            const auto found = std::find(place, chosen.end(), version);
            const bool affordable
                = version->costPerRequest + plan->second.cheapestGood <= query.workspace->rules.costBound;
            if (found != chosen.end() && affordable) {
                std::rotate(place, found, std::next(found));
                ++place;
            }
        }
    }
    // Versions whose roll-out share includes this request come first.
    fresh.insert(fresh.end(), chosen.begin(), chosen.end());
    return fresh;
}

} // namespace ibisfork::routing
