#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"

namespace ibisfork::routing {

/// Chooses an upstream among those that serve a version or a plain service.
class UpstreamPicker
{
public:
    UpstreamPicker(const fleet::Config &config, const UpstreamFilter &usable);

    /// An engine with room that serves @p version, or an empty text. Adds the others to @p leftOut.
    std::string pickEngine(const fleet::VersionId &version,
                           const std::vector<std::string> &tried,
                           const RoomLookup &room,
                           std::vector<LeftOut> &leftOut) const;

    /// The same for a plain service.
    std::string pickService(const std::string &service,
                            const std::vector<std::string> &tried,
                            const RoomLookup &room,
                            std::vector<LeftOut> &leftOut) const;

private:
    using Upstreams = std::vector<const fleet::Upstream *>;

    std::string pick(const Upstreams &upstreams,
                     const std::vector<std::string> &tried,
                     const RoomLookup &room,
                     std::vector<LeftOut> &leftOut) const;
    std::optional<LeftOutReason> closedReason(const fleet::Upstream &upstream) const;

    const fleet::Config &m_config;
    std::map<fleet::VersionId, Upstreams> m_engines;
    std::map<std::string, Upstreams> m_services;
};

} // namespace ibisfork::routing
