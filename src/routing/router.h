#pragma once

#include <optional>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"
#include "routing/upstreampicker.h"
#include "routing/versionchooser.h"

namespace ibisfork::routing {

/// Chooses version and upstream of a request at one revision of the configuration.
class Router
{
public:
    /// Upstreams that @p usable says no to are never chosen.
    explicit Router(const fleet::Config &config, const UpstreamFilter &usable = {}, std::uint64_t seed = 0);

    RoutingDecision choose(const RoutingQuery &query, const RoomLookup &room) const;

    /// An upstream of the plain service @p service.
    RoutingDecision chooseService(const std::string &service, const UpstreamQuery &query, const RoomLookup &room) const;

private:
    VersionChooser m_chooser;
    UpstreamPicker m_picker;
};

} // namespace ibisfork::routing
