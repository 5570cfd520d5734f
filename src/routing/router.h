#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::routing {

/// Why a version or an upstream was left out.
enum class LeftOutReason { NotPermitted, Withdrawn, OtherModel, BelowQuality, DomainTakenOut, Draining, NoRoom, Tried };
inline constexpr std::array<base::Name<LeftOutReason>, 8> leftOutReasonNames{{
    {LeftOutReason::NotPermitted, "not-permitted"},
    {LeftOutReason::Withdrawn, "withdrawn"},
    {LeftOutReason::OtherModel, "other-model"},
    {LeftOutReason::BelowQuality, "below-quality"},
    {LeftOutReason::DomainTakenOut, "domain-taken-out"},
    {LeftOutReason::Draining, "draining"},
    {LeftOutReason::NoRoom, "no-room"},
    {LeftOutReason::Tried, "tried"},
}};

struct LeftOut
{
    std::string candidate;
    LeftOutReason reason;
};

/// What a request asks of the router.
struct RoutingQuery
{
    const fleet::Workspace *workspace = nullptr;
    /// A model, a model@version, or empty for any that the workspace permits.
    std::string model;
    /// The version that the request's session holds.
    std::optional<fleet::VersionId> sessionVersion;
    /// Upstreams that this request was already sent to.
    std::vector<std::string> tried;
    /// Versions that answered this request too poorly.
    std::vector<fleet::VersionId> triedVersions;
    std::string failureDomain;
};

/// The version and upstream chosen, or neither.
struct RoutingDecision
{
    std::optional<fleet::VersionId> version;
    std::string upstream;
    std::vector<LeftOut> leftOut;
};

/// How much room and load an upstream has, asked of the node's own books.
struct UpstreamRoom
{
    std::uint32_t free = 0;
    std::uint32_t running = 0;
};
using RoomLookup = std::function<UpstreamRoom(const std::string &upstream)>;

/// Chooses version and upstream of a request at one revision of the configuration.
class Router
{
public:
    explicit Router(const fleet::Config &config);

    RoutingDecision choose(const RoutingQuery &query, const RoomLookup &room) const;

    /// An upstream of the plain service @p service.
    RoutingDecision chooseService(const std::string &service,
                                  const std::vector<std::string> &tried,
                                  const RoomLookup &room) const;

private:
    std::vector<const fleet::Version *> candidates(const RoutingQuery &query, RoutingDecision &decision) const;
    std::string pickUpstream(const std::vector<const fleet::Upstream *> &upstreams,
                             const std::vector<std::string> &tried,
                             const RoomLookup &room,
                             RoutingDecision &decision) const;
    std::optional<LeftOutReason> closedReason(const fleet::Upstream &upstream) const;

    const fleet::Config &m_config;
    std::map<fleet::VersionId, std::vector<const fleet::Upstream *>> m_engines;
    std::map<std::string, std::vector<const fleet::Upstream *>> m_services;
};

} // namespace ibisfork::routing
