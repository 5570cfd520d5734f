#pragma once

#include <optional>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"
#include "routing/upstreampicker.h"

namespace ibisfork::routing {

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

/// Chooses version and upstream of a request at one revision of the configuration.
class Router
{
public:
    /// Upstreams that @p usable says no to are never chosen.
    explicit Router(const fleet::Config &config, const UpstreamFilter &usable = {});

    RoutingDecision choose(const RoutingQuery &query, const RoomLookup &room) const;

    /// An upstream of the plain service @p service.
    RoutingDecision chooseService(const std::string &service,
                                  const std::vector<std::string> &tried,
                                  const RoomLookup &room) const;

private:
    std::vector<const fleet::Version *> candidates(const RoutingQuery &query, RoutingDecision &decision) const;

    const fleet::Config &m_config;
    UpstreamPicker m_picker;
};

} // namespace ibisfork::routing
