#pragma once

#include <optional>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"
#include "routing/upstreampicker.h"
#include "routing/versionchooser.h"

namespace ibisfork::routing {

/// Chooses the version and upstream of each request for one revision of the configuration.
class Router
{
public:
    /// Upstreams rejected by @p usable are never chosen. @p seed seeds the random choice of upstreams. @p config must
    /// outlive the router.
    explicit Router(const fleet::Config &config, const UpstreamFilter &usable = {}, std::uint64_t seed = 0);

    /// Chooses a version and an engine that serves it.
    RoutingDecision choose(const RoutingQuery &query, const CapacityLookup &capacityOf) const;

    /// Chooses an upstream of the plain service @p service; the decision has no version.
    RoutingDecision chooseService(const std::string &service,
                                  const UpstreamQuery &query,
                                  const CapacityLookup &capacityOf) const;

private:
    VersionChooser m_chooser;
    UpstreamPicker m_picker;
};

} // namespace ibisfork::routing
