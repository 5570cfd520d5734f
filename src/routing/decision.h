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

/// Why a version or an upstream was left out.
enum class LeftOutReason {
    NotPermitted,
    Withdrawn,
    OtherModel,
    BelowQuality,
    DomainTakenOut,
    Draining,
    NoRoom,
    Tried,
    NotDrawn,
    Halted,
    NotAllowed,
    OverCost,
};
inline constexpr std::array<base::Name<LeftOutReason>, 12> leftOutReasonNames{{
    {LeftOutReason::NotPermitted, "not-permitted"},
    {LeftOutReason::Withdrawn, "withdrawn"},
    {LeftOutReason::OtherModel, "other-model"},
    {LeftOutReason::BelowQuality, "below-quality"},
    {LeftOutReason::DomainTakenOut, "domain-taken-out"},
    {LeftOutReason::Draining, "draining"},
    {LeftOutReason::NoRoom, "no-room"},
    {LeftOutReason::Tried, "tried"},
    {LeftOutReason::NotDrawn, "not-drawn-for-rollout"},
    {LeftOutReason::Halted, "rollout-halted"},
    {LeftOutReason::NotAllowed, "exposure-cap"},
    {LeftOutReason::OverCost, "over-cost-bound"},
}};

/// A candidate that was not chosen; its name lives as long as the configuration.
struct LeftOut
{
    std::string_view candidate;
    LeftOutReason reason;
};

/// The version and upstream chosen, or neither.
struct RoutingDecision
{
    std::optional<fleet::VersionId> version;
    std::string upstream;
    std::vector<LeftOut> leftOut;

    /// Whether an upstream was left out for want of room alone.
    bool lacksRoom() const
    {
        return std::any_of(
            leftOut.begin(), leftOut.end(), [](const auto &left) { return left.reason == LeftOutReason::NoRoom; });
    }
};

/// Tells which upstreams are of use to a node at all.
using UpstreamFilter = std::function<bool(const std::string &upstream)>;

/// How much room and load an upstream has, asked of the node's own books.
struct UpstreamRoom
{
    std::uint32_t free = 0;
    std::uint32_t running = 0;
    /// Work of all nodes there as a share of what the upstream bears warm.
    double occupancy = 0;
};
using RoomLookup = std::function<UpstreamRoom(const std::string &upstream)>;

} // namespace ibisfork::routing
