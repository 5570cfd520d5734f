#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gateway/peerselector.h"

namespace ibisfork::gateway::test {

/// First tries of callers, and how many of them were served.
struct TryCount
{
    unsigned served = 0;
    unsigned asked = 0;

    double share() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
};

/// Nodes on a virtual clock that ask each other to serve requests of one service, as a PeerSelector each chooses.
class PeerSearchFleet
{
public:
    /// @p domains: number of nodes of each failure domain.
    PeerSearchFleet(const std::vector<std::size_t> &domains, std::uint64_t seed);

    std::size_t size() const { return m_nodes.size(); }
    /// Nodes of the failure domain @p index.
    std::set<std::size_t> domain(std::size_t index) const;
    /// @p count nodes, drawn at random.
    std::set<std::size_t> draw(std::size_t count);

    /// From now on, @p nodes have no path to the engines, and all others have one. Each of them finds out after a
    /// while.
    void cut(const std::set<std::size_t> &nodes);
    /// Ends @p nodes, and starts them again after a while, with no knowledge of the others.
    void restart(const std::set<std::size_t> &nodes);
    /// Callers send @p perSecond requests a second to each node for @p time. Counts those to nodes without a path.
    TryCount play(base::Duration time, double perSecond);

    /// Requests of other nodes that a node with a path has served in the last play(), by node.
    const std::map<std::size_t, unsigned> &servedForOthers() const { return m_servedForOthers; }
    /// Questions between nodes in the last play().
    unsigned asks() const { return m_asks; }

private:
    struct Node
    {
        PeerNode self;
        std::vector<PeerNode> others;
        std::unique_ptr<PeerSelector> selector;
        bool hasPath = true;
        /// When it knows that it has no path.
        base::TimePoint knowsAt{};
        /// Until when it is down.
        base::TimePoint upAt{};
    };

    struct Request
    {
        std::size_t node = 0;
        base::TimePoint deadline{};
        std::vector<std::string> tried;
    };

    struct Event
    {
        base::TimePoint at{};
        std::uint64_t serial = 0;
        std::function<void()> happen;

        bool operator>(const Event &other) const { return std::tie(at, serial) > std::tie(other.at, other.serial); }
    };

    void schedule(base::Duration after, std::function<void()> happen);
    void runUntil(base::TimePoint end);
    void arrive(std::size_t node, base::Duration period, base::TimePoint end);
    void askNext(const std::shared_ptr<Request> &request);
    void ask(const std::shared_ptr<Request> &request, const PeerNode &peer);
    base::Duration drawTime(base::Duration least, base::Duration most);

    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_indexes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_serial = 0;
    base::TimePoint m_now;
    TryCount m_count;
    std::map<std::size_t, unsigned> m_servedForOthers;
    unsigned m_asks = 0;
};

} // namespace ibisfork::gateway::test
