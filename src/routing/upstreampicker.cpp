#include "routing/upstreampicker.h"

#include <algorithm>

namespace ibisfork::routing {

UpstreamPicker::UpstreamPicker(const fleet::Config &config, const UpstreamFilter &usable)
    : m_config(config)
{
    for (const auto &[id, upstream] : config.upstreams) {
        if (usable && !usable(id)) {
            continue;
        }
        if (upstream.kind == fleet::UpstreamKind::Service) {
            m_services[upstream.service].push_back(&upstream);
            continue;
        }
        for (const auto &version : upstream.versions) {
            m_engines[version].push_back(&upstream);
        }
    }
}

std::string UpstreamPicker::pickEngine(const fleet::VersionId &version,
                                       const std::vector<std::string> &tried,
                                       const RoomLookup &room,
                                       std::vector<LeftOut> &leftOut) const
{
    const auto engines = m_engines.find(version);
    return engines == m_engines.end() ? std::string() : pick(engines->second, tried, room, leftOut);
}

std::string UpstreamPicker::pickService(const std::string &service,
                                        const std::vector<std::string> &tried,
                                        const RoomLookup &room,
                                        std::vector<LeftOut> &leftOut) const
{
    const auto upstreams = m_services.find(service);
    return upstreams == m_services.end() ? std::string() : pick(upstreams->second, tried, room, leftOut);
}

std::string UpstreamPicker::pick(const Upstreams &upstreams,
                                 const std::vector<std::string> &tried,
                                 const RoomLookup &room,
                                 std::vector<LeftOut> &leftOut) const
{
    const fleet::Upstream *best = nullptr;
    std::uint32_t fewest = 0;
    for (const auto *upstream : upstreams) {
        if (std::find(tried.begin(), tried.end(), upstream->id) != tried.end()) {
            leftOut.push_back({upstream->id, LeftOutReason::Tried});
            continue;
        }
        if (const auto reason = closedReason(*upstream)) {
            leftOut.push_back({upstream->id, *reason});
            continue;
        }
        const auto there = room(upstream->id);
        if (there.free == 0) {
            leftOut.push_back({upstream->id, LeftOutReason::NoRoom});
        } else if (best == nullptr || there.running < fewest) {
            best = upstream;
            fewest = there.running;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

std::optional<LeftOutReason> UpstreamPicker::closedReason(const fleet::Upstream &upstream) const
{
    if (upstream.state == fleet::UpstreamState::Draining) {
        return LeftOutReason::Draining;
    }
    const auto domain = m_config.failureDomains.find(upstream.failureDomain);
    if (domain != m_config.failureDomains.end() && domain->second.state == fleet::DomainState::TakenOut) {
        return LeftOutReason::DomainTakenOut;
    }
    return std::nullopt;
}

} // namespace ibisfork::routing
