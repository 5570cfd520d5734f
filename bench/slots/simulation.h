#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>
#include <ibisfork/fleet/config.h>

#include "upstream/concurrencytracker.h"

namespace ibisfork::bench {

/// How nodes share what an upstream bears.
enum class Sharing { StaticDivision, Alone, Slots };
inline constexpr std::array<base::Name<Sharing>, 3> sharingNames{{
    {Sharing::StaticDivision, "static-division"},
    {Sharing::Alone, "alone"},
    {Sharing::Slots, "slots"},
}};

struct Scenario
{
    Sharing sharing = Sharing::Slots;
    /// Share of what all engines bear warm.
    double load = 0.6;
    /// Time for which a restarted engine refuses connections.
    std::chrono::milliseconds downtime{3000};
    unsigned seed = 1;
};

struct Result
{
    /// Runs that arrived at an engine that bore no more.
    unsigned overLimit = 0;
    /// Engines that ended for it.
    unsigned falls = 0;
    unsigned answered = 0;
    /// Requests that found no room within their time.
    unsigned refused = 0;
    /// Requests that ran on an engine or a node that ended.
    unsigned lost = 0;
    /// Share of what the engines bore that lay idle while a request waited.
    double unusedWhileWaiting = 0;
    std::vector<double> firstTokenMs;
};

/// Seven nodes before twenty engines, some restarted without warning and one node replaced, in virtual time.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario);

    Result run();

private:
    using Action = std::function<void()>;
    struct Event
    {
        base::TimePoint at;
        std::uint64_t number = 0;
        Action action;

        bool operator<(const Event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };
    struct Engine
    {
        unsigned life = 0;
        base::TimePoint startedAt;
        unsigned running = 0;
        /// Nodes with a run there, one entry a run.
        std::vector<std::pair<unsigned, unsigned>> owners;
    };
    struct Node
    {
        std::string name;
        unsigned life = 0;
        std::unique_ptr<upstream::ConcurrencyTracker> limits;
        std::deque<base::TimePoint> waiting;
        unsigned nextPoll = 0;
    };

    void schedule(base::Duration after, Action action);
    void updateNodes();
    fleet::Config configFor(const Node &node) const;
    void startNode(unsigned index);
    void arrive();
    void drain(unsigned node);
    int pick(const Node &node);
    void send(unsigned node, unsigned engine, base::TimePoint askedAt);
    void begin(unsigned node, unsigned nodeLife, unsigned engine, base::TimePoint askedAt);
    void end(unsigned node, unsigned nodeLife, unsigned engine, unsigned engineLife);
    void restart(unsigned engine);
    void poll(unsigned node);
    void replaceNode(unsigned node);
    unsigned bears(const Engine &engine) const;
    void account(base::TimePoint until);

    Scenario m_scenario;
    std::mt19937_64 m_random;
    base::TimePoint m_now{std::chrono::hours(10)};
    base::TimePoint m_end;
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event> m_events;
    coord::Revision m_revision = 0;
    bool m_enginesKnown = false;
    std::vector<Engine> m_engines;
    std::vector<Node> m_nodes;
    double m_idleWhileWaiting = 0;
    double m_capacity = 0;
    Result m_result;
};

} // namespace ibisfork::bench
