#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <ibisfork/base/names.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::routing {

/// Why a version or an upstream was excluded from a routing decision.
enum class ExclusionReason {
    NotPermitted,
    Withdrawn,
    OtherModel,
    BelowQuality,
    /// An operator took the failure domain out of service.
    DomainTakenOut,
    Draining,
    NoCapacity,
    /// Already tried for this request.
    Tried,
    /// The session or request is not in the roll-out's share.
    NotSampled,
    /// The roll-out is halted.
    Halted,
    /// The roll-out step's cap is used up, or this node stopped the version.
    ExposureDenied,
    /// The version would exceed the workspace's cost bound.
    OverCost,
};
inline constexpr std::array<base::Name<ExclusionReason>, 12> exclusionReasonNames{{
    {ExclusionReason::NotPermitted, "not-permitted"},
    {ExclusionReason::Withdrawn, "withdrawn"},
    {ExclusionReason::OtherModel, "other-model"},
    {ExclusionReason::BelowQuality, "below-quality"},
    {ExclusionReason::DomainTakenOut, "domain-taken-out"},
    {ExclusionReason::Draining, "draining"},
    {ExclusionReason::NoCapacity, "no-room"},
    {ExclusionReason::Tried, "tried"},
    {ExclusionReason::NotSampled, "not-drawn-for-rollout"},
    {ExclusionReason::Halted, "rollout-halted"},
    {ExclusionReason::ExposureDenied, "exposure-cap"},
    {ExclusionReason::OverCost, "over-cost-bound"},
}};

/// A version or upstream excluded from a routing decision. @c candidate points into the configuration or into the
/// routing tables built from it.
struct ExcludedCandidate
{
    std::string_view candidate;
    ExclusionReason reason;
};

/// Result of routing one request: the version and upstream chosen, or neither, and the excluded candidates.
struct RoutingDecision
{
    std::optional<fleet::VersionId> version;
    std::string upstream;
    std::vector<ExcludedCandidate> excluded;

    /// Whether at least one upstream was excluded because it had no free capacity.
    bool lacksCapacity() const
    {
        return std::any_of(excluded.begin(), excluded.end(), [](const auto &candidate) {
            return candidate.reason == ExclusionReason::NoCapacity;
        });
    }
};

/// Returns whether this node can use an upstream at all.
using UpstreamFilter = std::function<bool(const std::string &upstream)>;

/// Free capacity and load of an upstream as known to this node.
struct UpstreamCapacity
{
    /// Requests that this node may still start there.
    std::uint32_t free = 0;
    /// Requests of this node that are running there.
    std::uint32_t running = 0;
    /// Requests of all nodes there divided by the number that the upstream can handle when warm.
    double occupancy = 0;
};
/// Returns the capacity and load of an upstream.
using CapacityLookup = std::function<UpstreamCapacity(const std::string &upstream)>;

} // namespace ibisfork::routing
