#include "routing/upstreampicker.h"

#include <algorithm>

namespace ibisfork::routing {

namespace {

// Penalties in units of occupancy: a full batch (occupancy 1) about doubles the time to the first token, adding some
// 200 ms, while connecting and sending a request takes some 6 ms longer across failure domains and 60 ms longer across
// regions.
constexpr double otherDomainPenalty = 0.03;
constexpr double otherRegionPenalty = 0.3;

void exclude(std::vector<ExcludedCandidate> &excluded,
             std::size_t maxSize,
             std::string_view upstream,
             ExclusionReason reason)
{
    if (excluded.size() < maxSize) {
        excluded.push_back({upstream, reason});
    }
}

} // namespace

UpstreamPicker::UpstreamPicker(const fleet::Config &config, const UpstreamFilter &usable, std::uint64_t seed)
    : m_config(config)
    , m_random(seed)
{
    for (const auto &[id, upstream] : config.upstreams) {
        if (usable && !usable(id)) {
            continue;
        }
        if (upstream.kind == fleet::UpstreamKind::Service) {
            add(m_services[upstream.service], upstream);
            continue;
        }
        for (const auto &version : upstream.versions) {
            add(m_engines[version], upstream);
        }
    }
}

void UpstreamPicker::add(Pool &pool, const fleet::Upstream &upstream) const
{
    if (const auto reason = unavailableReason(upstream)) {
        exclude(pool.unavailable, maxExcluded, upstream.id, *reason);
    } else {
        pool.available.push_back({&upstream, &regionOf(upstream.failureDomain)});
    }
}

std::string UpstreamPicker::pickEngine(const fleet::VersionId &version,
                                       const UpstreamQuery &query,
                                       const CapacityLookup &capacityOf,
                                       std::vector<ExcludedCandidate> &excluded) const
{
    const auto engines = m_engines.find(version);
    return engines == m_engines.end() ? std::string() : pick(engines->second, query, capacityOf, excluded);
}

std::string UpstreamPicker::pickService(const std::string &service,
                                        const UpstreamQuery &query,
                                        const CapacityLookup &capacityOf,
                                        std::vector<ExcludedCandidate> &excluded) const
{
    const auto upstreams = m_services.find(service);
    return upstreams == m_services.end() ? std::string() : pick(upstreams->second, query, capacityOf, excluded);
}

std::string UpstreamPicker::pick(const Pool &pool,
                                 const UpstreamQuery &query,
                                 const CapacityLookup &capacityOf,
                                 std::vector<ExcludedCandidate> &excluded) const
{
    const auto maxSize = excluded.size() + maxExcluded;
    for (const auto &candidate : pool.unavailable) {
        exclude(excluded, maxSize, candidate.candidate, candidate.reason);
    }
    const auto &region = regionOf(query.failureDomain);
    std::vector<Scored> scored;
    scored.reserve(pool.available.size());
    for (const auto &candidate : pool.available) {
        const auto &upstream = *candidate.upstream;
        if (std::find(query.tried.begin(), query.tried.end(), upstream.id) != query.tried.end()) {
            exclude(excluded, maxSize, upstream.id, ExclusionReason::Tried);
            continue;
        }
        const auto capacity = capacityOf(upstream.id);
        if (capacity.free == 0) {
            exclude(excluded, maxSize, upstream.id, ExclusionReason::NoCapacity);
            continue;
        }
        const bool sameDomain = upstream.failureDomain == query.failureDomain;
        const double penalty = *candidate.region == region ? otherDomainPenalty : otherRegionPenalty;
        scored.push_back({&upstream, capacity.occupancy + (sameDomain ? 0 : penalty)});
    }
    return betterOfTwo(scored);
}

std::string UpstreamPicker::betterOfTwo(const std::vector<Scored> &scored) const
{
    if (scored.empty()) {
        return {};
    }
    if (scored.size() == 1) {
        return scored.front().upstream->id;
    }
    auto first = std::uniform_int_distribution<std::size_t>(0, scored.size() - 1)(m_random);
    auto second = std::uniform_int_distribution<std::size_t>(0, scored.size() - 2)(m_random);
    second += second >= first ? 1 : 0;
    if (second < first) {
        std::swap(first, second);
    }
    return scored[second].score < scored[first].score ? scored[second].upstream->id : scored[first].upstream->id;
}

std::optional<ExclusionReason> UpstreamPicker::unavailableReason(const fleet::Upstream &upstream) const
{
    if (upstream.state == fleet::UpstreamState::Draining) {
        return ExclusionReason::Draining;
    }
    const auto domain = m_config.failureDomains.find(upstream.failureDomain);
    if (domain != m_config.failureDomains.end() && domain->second.state == fleet::DomainState::TakenOut) {
        return ExclusionReason::DomainTakenOut;
    }
    return std::nullopt;
}

const std::string &UpstreamPicker::regionOf(const std::string &failureDomain) const
{
    static const std::string unknown;
    const auto domain = m_config.failureDomains.find(failureDomain);
    return domain == m_config.failureDomains.end() ? unknown : domain->second.region;
}

} // namespace ibisfork::routing
