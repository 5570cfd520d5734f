#include "gateway/peerselector.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

using std::chrono::milliseconds;

/// A node that refuses has no path to the engines either; most such cuts last for seconds.
constexpr milliseconds refusedBackoff{1000};
constexpr milliseconds failedBackoff{2000};
/// Where all nodes refuse, each is asked for a service once in this time. A refusal costs a millisecond, and the one
/// that refused for a cut that has just ended may be the only one with a path.
constexpr milliseconds refusedRetryInterval{100};
/// What nodes have answered is used for so long. A node may have one request of a service a second.
constexpr milliseconds answerLifetime{10000};
/// Where most nodes refuse, requests are spread over so many that serve, and no others are looked for.
constexpr std::size_t enoughServing = 3;
/// Nodes that each request may ask. More of them, for all requests together, are limited by rate: while no node has a
/// path, each question is in vain and carries a whole request.
constexpr std::size_t asksPerRequest = 5;
constexpr double furtherAsksPerSecond = 20;
constexpr double furtherAsksAtOnce = 60;

bool isWithin(std::optional<base::TimePoint> at, base::Duration span, base::TimePoint now)
{
    return at && now - *at < span;
}

} // namespace

PeerSelector::PeerSelector(std::uint64_t seed)
    : m_random(seed)
    , m_furtherAsks(furtherAsksAtOnce)
{ }

PeerSelector::Standing PeerSelector::standing(const std::string &peer,
                                              const std::string &service,
                                              base::TimePoint now) const
{
    const auto found = m_records.find(peer);
    if (found == m_records.end()) {
        return Standing::Unknown;
    }
    const auto &record = found->second;
    const auto ofService = record.byService.find(service);
    const auto &answers = ofService == record.byService.end() ? ServiceRecord{} : ofService->second;
    if (isWithin(record.refusedAllAt, refusedBackoff, now) || isWithin(answers.refusedAt, refusedBackoff, now)) {
        return Standing::Refuses;
    }
    if (isWithin(record.unreachableAt, failedBackoff, now) || isWithin(answers.failedAt, failedBackoff, now)) {
        return Standing::Fails;
    }
    if (isWithin(answers.servedAt, answerLifetime, now)) {
        return Standing::Serves;
    }
    return isWithin(answers.refusedAt, answerLifetime, now) ? Standing::HasRefused : Standing::Unknown;
}

std::optional<PeerNode> PeerSelector::choose(const std::vector<PeerNode> &peers,
                                             const PeerNode &self,
                                             const std::string &service,
                                             const std::vector<std::string> &tried,
                                             base::TimePoint now)
{
    Candidates candidates;
    UnfitCounts unfit;
    for (const auto &peer : peers) {
        if (!peer.forwarding || peer.region != self.region) {
            continue;
        }
        const auto standing = this->standing(peer.name, service, now);
        if (standing != Standing::Serves && standing != Standing::Unknown) {
            ++unfit.byDomain[peer.failureDomain];
            ++unfit.all;
        }
        if (std::find(tried.begin(), tried.end(), peer.name) == tried.end()) {
            candidates[standing].push_back(&peer);
        }
    }
    const auto *picked = pick(candidates, self.failureDomain, unfit, !tried.empty());
    const bool allRefuse = picked == nullptr;
    if (allRefuse) {
        picked = pickRefusing(candidates[Standing::Refuses], service, now);
    }
    const bool isFurther = tried.size() >= asksPerRequest;
    if (picked == nullptr || (isFurther && !m_furtherAsks.consume(now, furtherAsksPerSecond))) {
        return std::nullopt;
    }
    if (allRefuse) {
        m_records[picked->name].byService[service].askedAt = now;
    }
    return *picked;
}

const PeerNode *PeerSelector::pick(const Candidates &candidates,
                                   const std::string &ownDomain,
                                   const UnfitCounts &unfit,
                                   bool hasAsked)
{
    const auto &serving = candidates[Standing::Serves];
    const auto &unknown = candidates[Standing::Unknown];
    // Otherwise all requests of this node would go to the first one that has served, however busy it is.
    const bool seeksMore = serving.size() < enoughServing || serving.size() >= unfit.all;
    const bool beginsWithUnknown = !hasAsked && !unknown.empty() && seeksMore;
    if (!serving.empty() && !beginsWithUnknown) {
        return draw(serving);
    }
    for (const auto standing : {Standing::Unknown, Standing::HasRefused}) {
        if (!candidates[standing].empty()) {
            return drawByDomain(candidates[standing], ownDomain, unfit);
        }
    }
    const auto &failing = candidates[Standing::Fails];
    return failing.empty() ? nullptr : draw(failing);
}

const PeerNode *PeerSelector::draw(const Nodes &nodes)
{
    std::uniform_int_distribution<std::size_t> index(0, nodes.size() - 1);
    return nodes[index(m_random)];
}

const PeerNode *PeerSelector::drawByDomain(const Nodes &nodes, const std::string &ownDomain, const UnfitCounts &unfit)
{
    // Nodes of one domain often lose their paths together.
    const auto unfitAt = [&](const PeerNode *peer) {
        const auto found = unfit.byDomain.find(peer->failureDomain);
        return found == unfit.byDomain.end() ? 0 : found->second;
    };
    const auto fewest
        = unfitAt(*std::min_element(nodes.begin(), nodes.end(), [&](const PeerNode *left, const PeerNode *right) {
              return unfitAt(left) < unfitAt(right);
          }));
    Nodes own;
    Nodes others;
    for (const auto *peer : nodes) {
        if (unfitAt(peer) == fewest) {
            (peer->failureDomain == ownDomain ? own : others).push_back(peer);
        }
    }
    return draw(own.empty() ? others : own);
}

const PeerNode *PeerSelector::pickRefusing(const Nodes &refusing, const std::string &service, base::TimePoint now) const
{
    const PeerNode *longestAgo = nullptr;
    base::TimePoint askedAt{};
    for (const auto *peer : refusing) {
        const auto &byService = m_records.at(peer->name).byService;
        const auto found = byService.find(service);
        const auto at
            = found == byService.end() ? base::TimePoint{} : found->second.askedAt.value_or(base::TimePoint{});
        if (longestAgo == nullptr || at < askedAt) {
            longestAgo = peer;
            askedAt = at;
        }
    }
    const bool mayAsk = longestAgo != nullptr && now - askedAt >= refusedRetryInterval;
    return mayAsk ? longestAgo : nullptr;
}

std::size_t PeerSelector::refusing(const std::vector<PeerNode> &peers,
                                   const std::string &service,
                                   base::TimePoint now) const
{
    const auto count = std::count_if(peers.begin(), peers.end(), [&](const PeerNode &peer) {
        return standing(peer.name, service, now) == Standing::Refuses;
    });
    return static_cast<std::size_t>(count);
}

void PeerSelector::recordServed(const std::string &peer, const std::string &service, base::TimePoint now)
{
    auto &record = m_records[peer];
    record.refusedAllAt.reset();
    auto &answers = record.byService[service];
    answers.refusedAt.reset();
    answers.servedAt = now;
}

void PeerSelector::recordRefused(const std::string &peer, const std::string &service, base::TimePoint now)
{
    auto &answers = m_records[peer].byService[service];
    answers.servedAt.reset();
    answers.refusedAt = now;
    answers.askedAt = now;
}

void PeerSelector::recordRefusedAll(const std::string &peer, base::TimePoint now)
{
    m_records[peer].refusedAllAt = now;
}

void PeerSelector::recordFailed(const std::string &peer, const std::string &service, base::TimePoint now)
{
    auto &answers = m_records[peer].byService[service];
    answers.servedAt.reset();
    answers.failedAt = now;
}

void PeerSelector::recordUnreachable(const std::string &peer, base::TimePoint now)
{
    auto &record = m_records[peer];
    for (auto &[service, answers] : record.byService) {
        answers.servedAt.reset();
    }
    record.unreachableAt = now;
}

} // namespace ibisfork::gateway
