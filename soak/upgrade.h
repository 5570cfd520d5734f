#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/timer.h"
#include "nodeprocess.h"
#include "plan.h"

namespace ibisfork::soak {

/// Which builds of ibisforkd the nodes run.
struct UpgradeSettings
{
    /// Program of the older build, which all nodes run at first.
    std::string olderDaemon;
    /// All nodes go back to the older build in the end.
    bool rollsBack = false;
};

/// What operators, engines and the store do during an upgrade; the last change ends before @p length.
std::vector<Fault> changesDuringUpgrade(std::uint64_t seed, base::Duration length);

/// Time in which @p nodes nodes are usually replaced.
base::Duration usualLength(const UpgradeSettings &settings, std::size_t nodes);

/// Replaces nodes by ones of another build, one after the other in an order drawn by seed.
class Upgrade
{
public:
    using Nodes = std::vector<std::unique_ptr<NodeProcess>>;
    /// Asks a node to end. Whoever watches its end starts it again.
    using Terminate = std::function<void(std::size_t node)>;

    /// Makes @p nodes start with the older build. @p nodes must outlive this object.
    Upgrade(event_base *base, Nodes &nodes, const UpgradeSettings &settings, std::uint64_t seed, Terminate terminate);

    void start();
    bool done() const { return m_next == m_steps.size(); }
    /// When each node was ready with its new build, as text.
    const std::vector<std::string> &history() const { return m_history; }

private:
    struct Step
    {
        std::size_t node = 0;
        std::string daemon;
    };

    void addSteps(const std::string &daemon);
    void check();
    void recordReady(const Step &step);

    Nodes &m_nodes;
    std::mt19937_64 m_random;
    Terminate m_terminate;
    std::vector<Step> m_steps;
    std::size_t m_next = 0;
    bool m_terminated = false;
    base::TimePoint m_startedAt{};
    std::vector<std::string> m_history;
    net::Timer m_timer;
};

} // namespace ibisfork::soak
