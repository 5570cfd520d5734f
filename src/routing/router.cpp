#include "routing/router.h"

namespace ibisfork::routing {

Router::Router(const fleet::Config &config, const UpstreamFilter &usable, std::uint64_t seed)
    : m_chooser(config)
    , m_picker(config, usable, seed)
{ }

RoutingDecision Router::choose(const RoutingQuery &query, const CapacityLookup &capacityOf) const
{
    RoutingDecision decision;
    for (const auto *version : m_chooser.choose(query, decision.excluded)) {
        decision.upstream
            = m_picker.pickEngine(version->id, {query.tried, query.failureDomain}, capacityOf, decision.excluded);
        if (!decision.upstream.empty()) {
            decision.version = version->id;
            break;
        }
    }
    return decision;
}

RoutingDecision Router::chooseService(const std::string &service,
                                      const UpstreamQuery &query,
                                      const CapacityLookup &capacityOf) const
{
    RoutingDecision decision;
    decision.upstream = m_picker.pickService(service, query, capacityOf, decision.excluded);
    return decision;
}

} // namespace ibisfork::routing
