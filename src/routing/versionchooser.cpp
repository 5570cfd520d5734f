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
double sampleFraction(const std::string &affinityKey, const std::string &version)
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
        m_plans.emplace(name, makePlan(workspace));
    }
}

VersionChooser::Candidate VersionChooser::makeCandidate(const fleet::Version &version,
                                                        const fleet::Workspace &workspace) const
{
    Candidate candidate{&version, version.id.text(), std::nullopt};
    if (!contains(workspace.versions, version.id)) {
        candidate.exclusion = ExclusionReason::NotPermitted;
    } else if (version.state == fleet::VersionState::Withdrawn) {
        candidate.exclusion = ExclusionReason::Withdrawn;
    } else if (version.state == fleet::VersionState::RollingOut) {
        const auto exposure = fleet::exposureOf(m_config, version);
        candidate.rollingOut = !exposure.whole;
        candidate.share = exposure.share;
        candidate.capped = exposure.capped;
        if (exposure.halted) {
            candidate.exclusion = ExclusionReason::Halted;
        }
    }
    return candidate;
}

VersionChooser::Plan VersionChooser::makePlan(const fleet::Workspace &workspace) const
{
    Plan plan;
    for (const auto &[id, version] : m_config.versions) {
        plan.ranked.push_back(makeCandidate(version, workspace));
    }
    const auto target = workspace.rules.qualityTarget;
    const auto rank = [target](const Candidate &candidate) {
        return candidate.exclusion ? 0 : candidate.version->expectedQuality >= target ? 1 : 2;
    };
    std::stable_sort(plan.ranked.begin(), plan.ranked.end(), [&](const Candidate &left, const Candidate &right) {
        if (rank(left) != rank(right)) {
            return rank(left) < rank(right);
        }
        return rank(left) == 1 ? left.version->costPerRequest < right.version->costPerRequest
                               : left.version->expectedQuality > right.version->expectedQuality;
    });
    for (std::size_t position = 0; position < plan.ranked.size(); ++position) {
        const auto &candidate = plan.ranked[position];
        if (rank(candidate) == 1) {
            plan.minTargetCost = plan.targetMetCount++ == 0 ? candidate.version->costPerRequest : plan.minTargetCost;
        } else if (rank(candidate) == 2 && candidate.version->reportsConfidence && plan.targetMetCount > 0
                   && candidate.version->costPerRequest < plan.minTargetCost) {
            plan.cascadeStarts.push_back(position);
        }
    }
    std::stable_sort(plan.cascadeStarts.begin(), plan.cascadeStarts.end(), [&](std::size_t left, std::size_t right) {
        return plan.ranked[left].version->costPerRequest < plan.ranked[right].version->costPerRequest;
    });
    return plan;
}

std::optional<ExclusionReason> VersionChooser::exclusionReason(const Candidate &candidate,
                                                               const RoutingQuery &query) const
{
    const auto &version = *candidate.version;
    if (candidate.exclusion) {
        return candidate.exclusion;
    }
    const bool pinned = query.sessionVersion && *query.sessionVersion == version.id;
    const bool requested = query.model == candidate.name;
    if (query.sessionVersion ? !pinned : !(requested || query.model.empty() || query.model == version.id.model)) {
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
    if (candidate.rollingOut && !pinned && !requested
        && sampleFraction(query.affinityKey, candidate.name) >= candidate.share) {
        return ExclusionReason::NotSampled;
    }
    const bool capped = candidate.capped && !pinned;
    if (candidate.rollingOut && !(query.mayExpose && query.mayExpose(version.id, capped))) {
        return ExclusionReason::ExposureDenied;
    }
    return std::nullopt;
}

std::vector<const fleet::Version *> VersionChooser::choose(const RoutingQuery &query,
                                                           std::vector<ExcludedCandidate> &excluded) const
{
    std::vector<const fleet::Version *> chosen;
    const auto plan = m_plans.find(query.workspace->name);
    if (plan == m_plans.end()) {
        return chosen;
    }
    std::vector<const fleet::Version *> sampled;
    for (const auto &candidate : plan->second.ranked) {
        if (const auto reason = exclusionReason(candidate, query)) {
            excluded.push_back({candidate.name, *reason});
        } else if (candidate.rollingOut) {
            sampled.push_back(candidate.version);
        } else {
            chosen.push_back(candidate.version);
        }
    }
    // A cascade starts with the cheapest version that leaves enough of the cost bound for one that meets the quality
    // target.
    if (query.mayEscalate && query.workspace->rules.cascade && query.triedVersions.empty()) {
        auto position = chosen.begin();
        for (const auto index : plan->second.cascadeStarts) {
            const auto *version = plan->second.ranked[index].version;
            const auto found = std::find(position, chosen.end(), version);
            const bool affordable
                = version->costPerRequest + plan->second.minTargetCost <= query.workspace->rules.costBound;
            if (found != chosen.end() && affordable) {
                std::rotate(position, found, std::next(found));
                ++position;
            }
        }
    }
    // Versions whose roll-out share includes this request come first.
    sampled.insert(sampled.end(), chosen.begin(), chosen.end());
    return sampled;
}

} // namespace ibisfork::routing
