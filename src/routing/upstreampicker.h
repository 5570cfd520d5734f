#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"

namespace ibisfork::routing {

/// Who asks for an upstream.
struct UpstreamQuery
{
    /// Upstreams that the request was already sent to.
    const std::vector<std::string> &tried;
    /// Failure domain of the asking node.
    const std::string &failureDomain;
};

/// Chooses an upstream among those that serve a version or a plain service.
///
/// Of two taken at random from those with room it gives the one with less work, so that nodes with the same late
/// reports don't all send to the same one. Work in the same failure domain counts less.
class UpstreamPicker
{
public:
    /// Most upstreams that one choice names as left out.
    static constexpr std::size_t maxLeftOut = 16;

    /// Upstreams that @p usable says no to are never chosen. The same @p seed gives the same choices.
    UpstreamPicker(const fleet::Config &config, const UpstreamFilter &usable, std::uint64_t seed);

    /// An engine with room that serves @p version, or an empty text. Adds others to @p leftOut.
    std::string pickEngine(const fleet::VersionId &version,
                           const UpstreamQuery &query,
                           const RoomLookup &room,
                           std::vector<LeftOut> &leftOut) const;

    /// The same for a plain service.
    std::string pickService(const std::string &service,
                            const UpstreamQuery &query,
                            const RoomLookup &room,
                            std::vector<LeftOut> &leftOut) const;

private:
    struct Candidate
    {
        const fleet::Upstream *upstream = nullptr;
        const std::string *region = nullptr;
    };
    struct Pool
    {
        std::vector<Candidate> open;
        std::vector<LeftOut> closed;
    };
    struct Scored
    {
        const fleet::Upstream *upstream = nullptr;
        double score = 0;
    };

    void add(Pool &pool, const fleet::Upstream &upstream) const;
    std::string pick(const Pool &pool,
                     const UpstreamQuery &query,
                     const RoomLookup &room,
                     std::vector<LeftOut> &leftOut) const;
    std::string betterOfTwo(const std::vector<Scored> &scored) const;
    std::optional<LeftOutReason> closedReason(const fleet::Upstream &upstream) const;
    const std::string &regionOf(const std::string &failureDomain) const;

    const fleet::Config &m_config;
    mutable std::mt19937_64 m_random;
    std::map<fleet::VersionId, Pool> m_engines;
    std::map<std::string, Pool> m_services;
};

} // namespace ibisfork::routing
