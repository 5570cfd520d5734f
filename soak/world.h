#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "fakestore.h"
#include "http/callclient.h"
#include "idleconnections.h"
#include "ledger.h"
#include "nodepaths.h"
#include "nodeprocess.h"
#include "pipeliningcaller.h"
#include "plan.h"
#include "servedshares.h"
#include "soakcaller.h"
#include "soakengine.h"
#include "unusualengine.h"
#include "upgrade.h"

namespace ibisfork::soak {

/// Nodes that have paths of their own: with more of them some would read the list of engines, and so the paths, from
/// others.
inline constexpr std::size_t nodesWithPaths = 3;
/// So many more callers ask them, so that shares of one node mean something.
inline constexpr std::size_t callersPerUsual = 4;

struct WorldSettings
{
    std::uint64_t seed = 1;
    std::size_t nodes = 5;
    std::size_t enginesPerService = 4;
    std::size_t callers = 20;
    /// Time of traffic with faults.
    base::Duration length = std::chrono::seconds(15);
    /// Where settings and logs of the nodes go.
    std::string folder;
    /// Set: the nodes are replaced by ones of another build meanwhile.
    std::optional<UpgradeSettings> upgrade;
    /// Each node has paths of its own to the engines, which it may lose.
    bool nodesHavePaths = false;
    /// Path of the nodes' program; empty: the one that was built along.
    std::string daemon{};
    /// Callers and engines do what few others do, and nodes have limits and ports of their own.
    bool crowd = false;
    /// Nodes choose among models, and engines are often unsure of the answers of the smallest.
    bool hasUnsureModels = false;
    NodeLimits limits{};
};

/// Nodes as processes, the store, engines and callers in this one, and a plan of faults.
class World : public Balancer
{
public:
    explicit World(WorldSettings settings);
    ~World() override;

    /// Plays the plan and a quiet time behind it.
    void run(const std::vector<Fault> &plan);
    const Ledger &ledger() const { return m_ledger; }
    /// Null if no node is replaced.
    const Upgrade *upgrade() const { return m_upgrade.get(); }
    std::size_t mostMemory() const { return m_mostMemory; }

    std::optional<Choice> choose() override;
    std::string key() override;

private:
    struct EngineSlot
    {
        std::unique_ptr<SoakEngine> engine;
        std::unique_ptr<gateway::test::FaultProxy> link;
        std::string state = "ready";
        unsigned heartbeats = 0;
    };

    void configure();
    nlohmann::json route(const std::string &path,
                         const char *kind,
                         const std::string &service,
                         unsigned attempts) const;
    void addEngine(const std::string &id, const std::string &service, std::size_t index, std::int64_t born);
    void list(EngineSlot &slot);
    void listUnusual(UnusualEngine &engine);
    void addCallers();
    /// Unusual engines, and limits and ports for the nodes.
    void addCrowd();
    /// From now on callers and engines do as others do.
    void calmCrowdDown();
    /// Does with nodes what the platform does with a process that exceeds its memory.
    void watchMemory();
    /// Kills the node; the platform starts it again.
    void restartSoon(std::size_t index);
    void startSoon(std::size_t index);
    /// Harms what a node finds when it starts, or reads while it runs.
    void harmStart(const Fault &fault, std::size_t index);
    static double shareOf(const Fault &fault);
    /// Callers take all descriptors of a node for a while.
    void openIdleConnections(std::size_t index);
    /// Judges whether the node's process number @p start went on waiting for events since @p waitsBefore were counted.
    void checkHandsBack(std::size_t index, unsigned start, std::size_t waitsBefore);
    void takePort(const Fault &fault, std::size_t index);
    void checkEndOfProcess(std::size_t index);
    void beat();
    void watchNodes();
    void askReady(std::size_t index);
    bool waitReady();
    void finishUpgrade();
    void runFor(base::Duration time);

    void apply(const Fault &fault);
    void harmNode(const Fault &fault, std::size_t index);
    /// Judges the node's process number @p start, which was asked to end the grace ago.
    void checkStopped(std::size_t index, unsigned start);
    void harmStore(const Fault &fault);
    /// The store comes back from a copy that is as old as the fault lasts.
    void restoreOlderStore(const Fault &fault);
    /// Ends the entries of engines that no longer run.
    void removeLapsedEntries();
    void harmEngine(const Fault &fault, std::size_t index);
    /// Engines of one service fall silent for a time, or are full.
    void hinderEngines(const Fault &fault);
    void pauseEngines(const std::vector<std::size_t> &indexes, base::Duration lasts);
    void fillEngines(const std::vector<std::size_t> &indexes, base::Duration lasts);
    /// @p count engines of the service that @p fault chooses.
    std::vector<std::size_t> enginesOfService(const Fault &fault, std::size_t count) const;
    void changeOrders(const Fault &fault);
    void restartEngine(std::size_t index, base::Duration after);
    void addNode(std::size_t index);
    /// Each service that @p fault chooses loses nodes of its own, unless paths are lost already.
    void losePaths(const Fault &fault);
    void losePathsTo(const std::string &service, const std::set<std::size_t> &nodes, const Fault &fault);
    void after(base::Duration delay, std::function<void()> step);
    /// Notes a disturbance of @p node, or of the paths of all, from now until @p lasts is over.
    void disturbPaths(std::optional<std::size_t> node, base::Duration lasts);
    /// Notes a disturbance of @p node, or of all, from now until @p lasts is over.
    void disturb(std::optional<std::size_t> node, base::Duration lasts);
    /// Notes a disturbance of what nodes learn from the store, which is no reason to end a request.
    void disturbFleetState(base::Duration lasts);
    void checkQuietTime(base::TimePoint from);

    WorldSettings m_settings;
    net::EventBasePtr m_base;
    std::mt19937_64 m_random;
    Ledger m_ledger;
    gateway::test::FakeStore m_store;
    http::CallClient m_client;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    /// By node; empty unless nodes have paths of their own.
    std::vector<std::unique_ptr<NodePaths>> m_paths;
    std::vector<LostPaths> m_losses;
    base::TimePoint m_pathsLostUntil{};
    std::unique_ptr<Upgrade> m_upgrade;
    std::vector<EngineSlot> m_engines;
    std::vector<std::unique_ptr<UnusualEngine>> m_unusual;
    unsigned m_unusualHeartbeats = 0;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<std::unique_ptr<PipeliningCaller>> m_pipelining;
    /// Ports of nodes that another process holds; null once it is gone.
    std::vector<std::unique_ptr<gateway::ListeningPort>> m_takenPorts;
    /// Most memory that a node has had, in MB.
    std::size_t m_mostMemory = 0;
    std::vector<std::unique_ptr<net::Timer>> m_later;
    unsigned m_configuration = 0;
    std::string m_movingTo = "a";
    std::string m_streamsTo = "a";
    bool m_otherTimes = false;
    bool m_secondKey = true;
    bool m_storeAway = false;
    unsigned m_engineCount = 0;
    net::Timer m_beatTimer;
    net::Timer m_watchTimer;
    net::Timer m_memoryTimer;
};

} // namespace ibisfork::soak
