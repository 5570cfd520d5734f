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

Router::Router(const fleet::Config &config, const UpstreamFilter &usable)
    : m_config(config)
    , m_picker(config, usable)
{ }

RoutingDecision Router::choose(const RoutingQuery &query, const RoomLookup &room) const
{
    RoutingDecision decision;
    for (const auto *version : candidates(query, decision)) {
        decision.upstream = m_picker.pickEngine(version->id, query.tried, room, decision.leftOut);
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
    decision.upstream = m_picker.pickService(service, tried, room, decision.leftOut);
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

} // namespace ibisfork::routing
