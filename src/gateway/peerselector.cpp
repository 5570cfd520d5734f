#include "gateway/peerselector.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// A node that refuses has no path to the engines either; most such cuts last for seconds.
constexpr std::chrono::milliseconds refusedBackoff{1000};
constexpr std::chrono::milliseconds failedBackoff{2000};
/// Where all nodes refuse, each is asked for a service once in this time. A refusal costs a millisecond, and the one
/// that refused for a cut that has just ended may be the only one with a path.
constexpr std::chrono::milliseconds refusedRetryInterval{100};

} // namespace

bool PeerSelector::Backoff::isActive(const std::string &service, base::TimePoint now) const
{
    const auto found = byService.find(service);
    return now < ofNode || (found != byService.end() && now < found->second);
}

bool PeerSelector::isActive(const Backoffs &backoffs,
                            const std::string &peer,
                            const std::string &service,
                            base::TimePoint now)
{
    const auto found = backoffs.find(peer);
    return found != backoffs.end() && found->second.isActive(service, now);
}

std::optional<PeerNode> PeerSelector::choose(const std::vector<PeerNode> &peers,
                                             const PeerNode &self,
                                             const std::string &service,
                                             const std::vector<std::string> &tried,
                                             base::TimePoint now)
{
    std::vector<const PeerNode *> near;
    std::vector<const PeerNode *> far;
    std::vector<const PeerNode *> failed;
    std::vector<const PeerNode *> refusing;
    for (const auto &peer : peers) {
        const bool wasTried = std::find(tried.begin(), tried.end(), peer.name) != tried.end();
        if (wasTried || !peer.forwarding || peer.region != self.region) {
            continue;
        }
        if (isActive(m_refusals, peer.name, service, now)) {
            refusing.push_back(&peer);
        } else if (isActive(m_failures, peer.name, service, now)) {
            failed.push_back(&peer);
        } else {
            (peer.failureDomain == self.failureDomain ? near : far).push_back(&peer);
        }
    }
    for (const auto *eligible : {&near, &far, &failed}) {
        if (!eligible->empty()) {
            std::uniform_int_distribution<std::size_t> draw(0, eligible->size() - 1);
            return *(*eligible)[draw(m_random)];
        }
    }
    const auto *again = chooseRefusing(refusing, service, now);
    return again == nullptr ? std::nullopt : std::optional(*again);
}

const PeerNode *PeerSelector::chooseRefusing(const std::vector<const PeerNode *> &refusing,
                                             const std::string &service,
                                             base::TimePoint now)
{
    const PeerNode *longestAgo = nullptr;
    base::TimePoint askedAt{};
    for (const auto *peer : refusing) {
        const auto at = m_refusals[peer->name].askedAt[service];
        if (longestAgo == nullptr || at < askedAt) {
            longestAgo = peer;
            askedAt = at;
        }
    }
    if (longestAgo == nullptr || now - askedAt < refusedRetryInterval) {
        return nullptr;
    }
    m_refusals[longestAgo->name].askedAt[service] = now;
    return longestAgo;
}

void PeerSelector::recordServed(const std::string &peer, const std::string &service)
{
    const auto found = m_refusals.find(peer);
    if (found != m_refusals.end()) {
        found->second.ofNode = {};
        found->second.byService.erase(service);
    }
}

std::size_t PeerSelector::refusing(const std::vector<PeerNode> &peers,
                                   const std::string &service,
                                   base::TimePoint now) const
{
    const auto count = std::count_if(peers.begin(), peers.end(), [&](const PeerNode &peer) {
        return isActive(m_refusals, peer.name, service, now);
    });
    return static_cast<std::size_t>(count);
}

void PeerSelector::recordRefused(const std::string &peer, const std::string &service, base::TimePoint now)
{
    m_refusals[peer].byService[service] = now + refusedBackoff;
    m_refusals[peer].askedAt[service] = now;
}

void PeerSelector::recordRefusedAll(const std::string &peer, base::TimePoint now)
{
    m_refusals[peer].ofNode = now + refusedBackoff;
}

void PeerSelector::recordFailed(const std::string &peer, const std::string &service, base::TimePoint now)
{
    m_failures[peer].byService[service] = now + failedBackoff;
}

void PeerSelector::recordUnreachable(const std::string &peer, base::TimePoint now)
{
    m_failures[peer].ofNode = now + failedBackoff;
}

} // namespace ibisfork::gateway
