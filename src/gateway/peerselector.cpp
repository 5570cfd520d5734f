#include "gateway/peerselector.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// A node that refuses has no path to the engines either; most such cuts last for seconds.
constexpr std::chrono::milliseconds refusedBackoff{1000};
constexpr std::chrono::milliseconds failedBackoff{2000};

} // namespace

std::optional<PeerNode> PeerSelector::choose(const std::vector<PeerNode> &peers,
                                             const PeerNode &self,
                                             const std::vector<std::string> &tried,
                                             base::TimePoint now)
{
    std::vector<const PeerNode *> near;
    std::vector<const PeerNode *> far;
    for (const auto &peer : peers) {
        const bool wasTried = std::find(tried.begin(), tried.end(), peer.name) != tried.end();
        if (isBackedOff(peer, now) || wasTried || !peer.forwarding || peer.region != self.region) {
            continue;
        }
        (peer.failureDomain == self.failureDomain ? near : far).push_back(&peer);
    }
    const auto &eligible = near.empty() ? far : near;
    if (eligible.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, eligible.size() - 1);
    return *eligible[draw(m_random)];
}

bool PeerSelector::isBackedOff(const PeerNode &peer, base::TimePoint now) const
{
    const auto backoff = m_backoffUntil.find(peer.name);
    return backoff != m_backoffUntil.end() && now < backoff->second;
}

std::size_t PeerSelector::backedOff(const std::vector<PeerNode> &peers, base::TimePoint now) const
{
    const auto count
        = std::count_if(peers.begin(), peers.end(), [&](const PeerNode &peer) { return isBackedOff(peer, now); });
    return static_cast<std::size_t>(count);
}

void PeerSelector::recordRefused(const std::string &peer, base::TimePoint now)
{
    m_backoffUntil[peer] = now + refusedBackoff;
}

void PeerSelector::recordFailed(const std::string &peer, base::TimePoint now)
{
    m_backoffUntil[peer] = now + failedBackoff;
}

} // namespace ibisfork::gateway
