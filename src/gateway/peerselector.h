#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/tablesource.h"

namespace ibisfork::gateway {

/// Chooses the node that serves a request which this node can't serve.
class PeerSelector
{
public:
    explicit PeerSelector(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Returns a node of the region of @p self that accepts forwarded requests, is not in @p tried and has not refused
    /// one of @p service lately; nodes of the same failure domain go first. Nodes that have failed lately are returned
    /// only if there is no other, and those that have refused, if all have, now and then: their paths may be back.
    /// Returns nullopt if there is none.
    std::optional<PeerNode> choose(const std::vector<PeerNode> &peers,
                                   const PeerNode &self,
                                   const std::string &service,
                                   const std::vector<std::string> &tried,
                                   base::TimePoint now);
    /// How many of @p peers are not asked for @p service now since they have refused it.
    std::size_t refusing(const std::vector<PeerNode> &peers, const std::string &service, base::TimePoint now) const;

    /// Records that @p peer has served a request of @p service.
    void recordServed(const std::string &peer, const std::string &service);
    /// Records that @p peer can't serve requests of @p service at present.
    void recordRefused(const std::string &peer, const std::string &service, base::TimePoint now);
    /// Records that @p peer takes no requests at present.
    void recordRefusedAll(const std::string &peer, base::TimePoint now);
    /// Records that a request of @p service has failed at @p peer.
    void recordFailed(const std::string &peer, const std::string &service, base::TimePoint now);
    /// Records that @p peer could not be reached.
    void recordUnreachable(const std::string &peer, base::TimePoint now);

private:
    /// How long a node is left alone, for all services or for one.
    struct Backoff
    {
        base::TimePoint ofNode{};
        std::map<std::string, base::TimePoint> byService;
        /// When the node was last asked for a service, or refused it.
        std::map<std::string, base::TimePoint> askedAt;

        bool isActive(const std::string &service, base::TimePoint now) const;
    };
    using Backoffs = std::map<std::string, Backoff>;

    static bool isActive(const Backoffs &backoffs,
                         const std::string &peer,
                         const std::string &service,
                         base::TimePoint now);

    /// The one of @p refusing that was asked longest ago, if any may be asked again.
    const PeerNode *chooseRefusing(const std::vector<const PeerNode *> &refusing,
                                   const std::string &service,
                                   base::TimePoint now);

    std::mt19937_64 m_random;
    /// By node.
    Backoffs m_refusals;
    Backoffs m_failures;
};

} // namespace ibisfork::gateway
