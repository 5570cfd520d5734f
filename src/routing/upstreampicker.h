#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"

namespace ibisfork::routing {

/// Request-specific input to the choice of an upstream.
struct UpstreamQuery
{
    /// Upstreams that the request was already sent to.
    const std::vector<std::string> &tried;
    /// Failure domain of this node.
    const std::string &failureDomain;
};

/// Chooses an upstream among those that serve a version or a plain service.
///
/// Uses the power of two random choices: of two random upstreams with free capacity, the less loaded one is chosen, so
/// that nodes working from the same stale load reports don't all send to the same upstream. Upstreams outside the
/// node's failure domain get a score penalty.
class UpstreamPicker
{
public:
    /// Maximum number of excluded upstreams reported per choice.
    static constexpr std::size_t maxExcluded = 16;

    /// Upstreams rejected by @p usable are never chosen. The same @p seed gives the same choices. @p config must
    /// outlive the picker.
    UpstreamPicker(const fleet::Config &config, const UpstreamFilter &usable, std::uint64_t seed);

    /// Returns the id of an engine that serves @p version and has free capacity, or an empty string if there is none.
    /// Appends excluded engines to @p excluded.
    std::string pickEngine(const fleet::VersionId &version,
                           const UpstreamQuery &query,
                           const CapacityLookup &capacityOf,
                           std::vector<ExcludedCandidate> &excluded) const;

    /// Same as pickEngine(), for upstreams of the plain service @p service.
    std::string pickService(const std::string &service,
                            const UpstreamQuery &query,
                            const CapacityLookup &capacityOf,
                            std::vector<ExcludedCandidate> &excluded) const;

private:
    struct Candidate
    {
        const fleet::Upstream *upstream = nullptr;
        const std::string *region = nullptr;
    };
    struct Pool
    {
        std::vector<Candidate> available;
        std::vector<ExcludedCandidate> unavailable;
    };
    struct Scored
    {
        const fleet::Upstream *upstream = nullptr;
        double score = 0;
    };

    void add(Pool &pool, const fleet::Upstream &upstream) const;
    std::string pick(const Pool &pool,
                     const UpstreamQuery &query,
                     const CapacityLookup &capacityOf,
                     std::vector<ExcludedCandidate> &excluded) const;
    std::string betterOfTwo(const std::vector<Scored> &scored) const;
    std::optional<ExclusionReason> unavailableReason(const fleet::Upstream &upstream) const;
    const std::string &regionOf(const std::string &failureDomain) const;

    const fleet::Config &m_config;
    mutable std::mt19937_64 m_random;
    std::map<fleet::VersionId, Pool> m_engines;
    std::map<std::string, Pool> m_services;
};

} // namespace ibisfork::routing
