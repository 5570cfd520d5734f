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

    /// Returns a node of @p region that accepts forwarded requests, is not in @p tried and has not failed or refused
    /// one lately; nodes of @p failureDomain go first. Returns nullopt if there is none.
    std::optional<PeerNode> choose(const std::vector<PeerNode> &peers,
                                   const PeerNode &self,
                                   const std::vector<std::string> &tried,
                                   base::TimePoint now);
    /// How many of @p peers are left alone now since they refused or failed.
    std::size_t backedOff(const std::vector<PeerNode> &peers, base::TimePoint now) const;
    /// Records that @p peer can't serve requests of @p service at present.
    void recordRefused(const std::string &peer, base::TimePoint now);
    /// Records that @p peer did not answer.
    void recordFailed(const std::string &peer, base::TimePoint now);

private:
    bool isBackedOff(const PeerNode &peer, base::TimePoint now) const;

    std::mt19937_64 m_random;
    std::map<std::string, base::TimePoint> m_backoffUntil;
};

} // namespace ibisfork::gateway
