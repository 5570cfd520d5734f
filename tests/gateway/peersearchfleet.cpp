#include "peersearchfleet.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ibisfork::gateway::test {

using namespace std::chrono_literals;

namespace {

const std::string service = "s";
/// The shortest limit that callers set.
constexpr auto requestLimit = 800ms;
/// With less time left, no node is asked.
constexpr auto leastTime = 40ms;
/// A question and its refusal, with the request's body, within a failure domain and between two.
constexpr auto nearAsk = 3ms;
constexpr auto farAsk = 6ms;
/// A node that does not know of its cut meets two engines out of reach first.
constexpr auto unawareAsk = 300ms;
constexpr auto connectLimit = 150ms;
constexpr auto soonestKnown = 300ms;
constexpr auto latestKnown = 1900ms;
constexpr auto shortestDown = 300ms;
constexpr auto longestDown = 1500ms;

} // namespace

PeerSearchFleet::PeerSearchFleet(const std::vector<std::size_t> &domains, std::uint64_t seed)
    : m_random(seed)
    , m_now(1000s)
{
    for (std::size_t domain = 0; domain < domains.size(); ++domain) {
        for (std::size_t i = 0; i < domains[domain]; ++i) {
            const auto name = "n" + std::to_string(m_nodes.size());
            const PeerNode self{
                name, "r", "d" + std::to_string(domain), {"127.0.0.1", 1}, net::Address{"127.0.0.1", 2}};
            m_indexes[name] = m_nodes.size();
            m_nodes.push_back({self, {}, std::make_unique<PeerSelector>(m_random()), true, {}, {}});
        }
    }
    for (auto &node : m_nodes) {
        for (const auto &other : m_nodes) {
            if (&other != &node) {
                node.others.push_back(other.self);
            }
        }
    }
}

std::set<std::size_t> PeerSearchFleet::domain(std::size_t index) const
{
    std::set<std::size_t> out;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].self.failureDomain == "d" + std::to_string(index)) {
            out.insert(i);
        }
    }
    return out;
}

std::set<std::size_t> PeerSearchFleet::draw(std::size_t count)
{
    std::vector<std::size_t> all(m_nodes.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    std::shuffle(all.begin(), all.end(), m_random);
    return {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count)};
}

void PeerSearchFleet::cut(const std::set<std::size_t> &nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].hasPath = !nodes.contains(i);
        m_nodes[i].knowsAt = m_now + drawTime(soonestKnown, latestKnown);
    }
}

void PeerSearchFleet::restart(const std::set<std::size_t> &nodes)
{
    for (const auto node : nodes) {
        m_nodes[node].selector = std::make_unique<PeerSelector>(m_random());
        m_nodes[node].upAt = m_now + drawTime(shortestDown, longestDown);
    }
}

TryCount PeerSearchFleet::play(base::Duration time, double perSecond)
{
    m_count = {};
    m_servedForOthers.clear();
    m_asks = 0;
    const auto period = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / perSecond));
    const auto end = m_now + time;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        schedule(drawTime(0ms, period), [this, i, period, end] { arrive(i, period, end); });
    }
    runUntil(end);
    // What is under way at the end has its time.
    runUntil(end + requestLimit);
    m_now = end;
    return m_count;
}

base::Duration PeerSearchFleet::drawTime(base::Duration least, base::Duration most)
{
    std::uniform_int_distribution<base::Duration::rep> draw(least.count(), most.count());
    return base::Duration(draw(m_random));
}

void PeerSearchFleet::schedule(base::Duration after, std::function<void()> happen)
{
    m_events.push({m_now + after, ++m_serial, std::move(happen)});
}

void PeerSearchFleet::runUntil(base::TimePoint end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.happen();
    }
    m_now = end;
}

void PeerSearchFleet::arrive(std::size_t node, base::Duration period, base::TimePoint end)
{
    if (m_now >= end) {
        return;
    }
    schedule(period, [this, node, period, end] { arrive(node, period, end); });
    const auto &self = m_nodes[node];
    if (self.hasPath || m_now < self.upAt) {
        return;
    }
    ++m_count.asked;
    askNext(std::make_shared<Request>(Request{node, m_now + requestLimit, {}}));
}

void PeerSearchFleet::askNext(const std::shared_ptr<Request> &request)
{
    auto &node = m_nodes[request->node];
    if (request->deadline - m_now < leastTime) {
        return;
    }
    const auto peer = node.selector->choose(node.others, node.self, service, request->tried, m_now);
    if (peer) {
        request->tried.push_back(peer->name);
        ++m_asks;
        ask(request, *peer);
    }
}

void PeerSearchFleet::ask(const std::shared_ptr<Request> &request, const PeerNode &peer)
{
    const auto index = m_indexes.at(peer.name);
    const auto &asked = m_nodes[index];
    const auto trip = peer.failureDomain == m_nodes[request->node].self.failureDomain ? nearAsk : farAsk;
    auto &selector = *m_nodes[request->node].selector;
    const auto name = peer.name;
    if (m_now < asked.upAt) {
        schedule(connectLimit, [this, request, name] {
            m_nodes[request->node].selector->recordUnreachable(name, m_now);
            askNext(request);
        });
    } else if (asked.hasPath) {
        selector.recordServed(name, service, m_now);
        ++m_count.served;
        ++m_servedForOthers[index];
    } else if (m_now < asked.knowsAt) {
        schedule(unawareAsk, [this, request, name] {
            m_nodes[request->node].selector->recordFailed(name, service, m_now);
            askNext(request);
        });
    } else {
        schedule(trip, [this, request, name] {
            m_nodes[request->node].selector->recordRefused(name, service, m_now);
            askNext(request);
        });
    }
}

} // namespace ibisfork::gateway::test
