#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/tablesource.h"
#include "gateway/tokenbucket.h"

namespace ibisfork::gateway {

/// Chooses the node that serves a request which this node can't serve, by what others have answered lately.
class PeerSelector
{
public:
    explicit PeerSelector(std::uint64_t seed);

    /// Returns the next node to ask for a request of @p service that has asked those in @p tried, or nullopt if there
    /// is none or too many are being asked. It is of the region of @p self and accepts forwarded requests.
    ///
    /// Nodes that have served the service lately go first, then those of which nothing is known, in a failure domain
    /// with as few others that refuse or fail as possible, those that have refused some time ago, and those that have
    /// failed. Those that have just refused are asked now and then if there are no others: their paths may be back.
    /// While few nodes are known to serve, or more than are known not to, a request begins with one of which nothing is
    /// known.
    std::optional<PeerNode> choose(const std::vector<PeerNode> &peers,
                                   const PeerNode &self,
                                   const std::string &service,
                                   const std::vector<std::string> &tried,
                                   base::TimePoint now);
    /// How many of @p peers are not asked for @p service now since they have refused it.
    std::size_t refusing(const std::vector<PeerNode> &peers, const std::string &service, base::TimePoint now) const;

    /// Records that @p peer has served a request of @p service.
    void recordServed(const std::string &peer, const std::string &service, base::TimePoint now);
    /// Records that @p peer can't serve requests of @p service at present.
    void recordRefused(const std::string &peer, const std::string &service, base::TimePoint now);
    /// Records that @p peer takes no requests at present.
    void recordRefusedAll(const std::string &peer, base::TimePoint now);
    /// Records that a request of @p service has failed at @p peer.
    void recordFailed(const std::string &peer, const std::string &service, base::TimePoint now);
    /// Records that @p peer could not be reached.
    void recordUnreachable(const std::string &peer, base::TimePoint now);

private:
    /// How a node has last answered requests of one service.
    enum class Standing {
        Serves,
        Unknown, ///< It was not asked lately.
        HasRefused, ///< Some time ago; it may be asked again.
        Fails,
        Refuses, ///< It has just refused.
    };

    static constexpr std::size_t standings = 5;

    using MaybeTime = std::optional<base::TimePoint>;
    using Nodes = std::vector<const PeerNode *>;
    /// The nodes that a request has not asked, by standing.
    class Candidates
    {
    public:
        Nodes &operator[](Standing standing) { return m_nodes[static_cast<std::size_t>(standing)]; }
        const Nodes &operator[](Standing standing) const { return m_nodes[static_cast<std::size_t>(standing)]; }

    private:
        std::array<Nodes, standings> m_nodes;
    };

    struct ServiceRecord
    {
        MaybeTime servedAt;
        MaybeTime refusedAt;
        MaybeTime failedAt;
        /// When the node was last asked after it had refused, or refused.
        MaybeTime askedAt;
    };

    struct PeerRecord
    {
        MaybeTime refusedAllAt;
        MaybeTime unreachableAt;
        std::map<std::string, ServiceRecord> byService;
    };

    /// Nodes that refuse, have refused or fail.
    struct UnfitCounts
    {
        std::size_t all = 0;
        std::map<std::string, std::size_t> byDomain;
    };

    Standing standing(const std::string &peer, const std::string &service, base::TimePoint now) const;
    /// The best of @p candidates, but of those that refuse. @p hasAsked: the request has asked a node already.
    const PeerNode *pick(const Candidates &candidates,
                         const std::string &ownDomain,
                         const UnfitCounts &unfit,
                         bool hasAsked);
    const PeerNode *draw(const Nodes &nodes);
    /// Draws one of @p nodes in the domains with the fewest @p unfit nodes.
    const PeerNode *drawByDomain(const Nodes &nodes, const std::string &ownDomain, const UnfitCounts &unfit);
    /// The one of @p refusing that was asked longest ago, if any may be asked again.
    const PeerNode *pickRefusing(const Nodes &refusing, const std::string &service, base::TimePoint now) const;

    std::mt19937_64 m_random;
    TokenBucket m_furtherAsks;
    /// By node.
    std::unordered_map<std::string, PeerRecord> m_records;
};

} // namespace ibisfork::gateway
