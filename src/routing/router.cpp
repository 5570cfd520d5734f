#include "routing/router.h"

#include <algorithm>

namespace ibisfork::routing {

namespace {

template<typename Value>
bool contains(const std::vector<Value> &values, const Value &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool answersTo(const fleet::VersionId &version, const std::string &model)
{
    return model.empty() || model == version.model || model == version.text();
}

} // namespace

Router::Router(const fleet::Config &config)
    : m_config(config)
{
    for (const auto &[id, upstream] : config.upstreams) {
        if (upstream.kind == fleet::UpstreamKind::Service) {
            m_services[upstream.service].push_back(&upstream);
            continue;
        }
        for (const auto &version : upstream.versions) {
            m_engines[version].push_back(&upstream);
        }
    }
}

RoutingDecision Router::choose(const RoutingQuery &query, const RoomLookup &room) const
{
    RoutingDecision decision;
    for (const auto *version : candidates(query, decision)) {
        const auto engines = m_engines.find(version->id);
        if (engines == m_engines.end()) {
            continue;
        }
        decision.upstream = pickUpstream(engines->second, query.tried, room, decision);
        if (!decision.upstream.empty()) {
            decision.version = version->id;
            break;
        }
    }
    return decision;
}

RoutingDecision Router::chooseService(const std::string &service,
                                      const std::vector<std::string> &tried,
                                      const RoomLookup &room) const
{
    RoutingDecision decision;
    const auto upstreams = m_services.find(service);
    if (upstreams != m_services.end()) {
        decision.upstream = pickUpstream(upstreams->second, tried, room, decision);
    }
    return decision;
}

std::vector<const fleet::Version *> Router::candidates(const RoutingQuery &query, RoutingDecision &decision) const
{
    std::vector<const fleet::Version *> good;
    std::vector<const fleet::Version *> poor;
    for (const auto &[id, version] : m_config.versions) {
        if (!contains(query.workspace->versions, id)) {
            decision.leftOut.push_back({id.text(), LeftOutReason::NotPermitted});
        } else if (version.state == fleet::VersionState::Withdrawn) {
            decision.leftOut.push_back({id.text(), LeftOutReason::Withdrawn});
        } else if (query.sessionVersion ? id != *query.sessionVersion : !answersTo(id, query.model)) {
            decision.leftOut.push_back({id.text(), LeftOutReason::OtherModel});
        } else if (contains(query.triedVersions, id)) {
            decision.leftOut.push_back({id.text(), LeftOutReason::Tried});
        } else if (version.expectedQuality >= query.workspace->rules.qualityTarget) {
            good.push_back(&version);
        } else {
            poor.push_back(&version);
        }
    }
    const auto cheaper = [](const auto *left, const auto *right) {
        return left->costPerRequest < right->costPerRequest;
    };
    const auto better = [](const auto *left, const auto *right) {
        return left->expectedQuality > right->expectedQuality;
    };
    std::stable_sort(good.begin(), good.end(), cheaper);
    std::stable_sort(poor.begin(), poor.end(), better);
    good.insert(good.end(), poor.begin(), poor.end());
    return good;
}

std::string Router::pickUpstream(const std::vector<const fleet::Upstream *> &upstreams,
                                 const std::vector<std::string> &tried,
                                 const RoomLookup &room,
                                 RoutingDecision &decision) const
{
    const fleet::Upstream *best = nullptr;
    std::uint32_t fewest = 0;
    for (const auto *upstream : upstreams) {
        if (contains(tried, upstream->id)) {
            decision.leftOut.push_back({upstream->id, LeftOutReason::Tried});
            continue;
        }
        if (const auto reason = closedReason(*upstream)) {
            decision.leftOut.push_back({upstream->id, *reason});
            continue;
        }
        const auto there = room(upstream->id);
        if (there.free == 0) {
            decision.leftOut.push_back({upstream->id, LeftOutReason::NoRoom});
        } else if (best == nullptr || there.running < fewest) {
            best = upstream;
            fewest = there.running;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

std::optional<LeftOutReason> Router::closedReason(const fleet::Upstream &upstream) const
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
