#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/enginetracker.h"
#include "gateway/lostrows.h"
#include "gateway/rollouttracker.h"
#include "gateway/rows.h"
#include "gateway/tablewatch.h"

namespace ibisfork::gateway {

/// In-memory view of the configuration, engines, rollouts and other nodes, built from the store's tables. A row is
/// never replaced by an older version. After the store has come back from an older copy, what it lacks stays in force
/// until its owners have had time to write it again.
class FleetView
{
public:
    /// Applies rows of the operators' table: configuration, rollout orders and evacuated failure domains.
    void applyOperatorRows(const TableChange &change, base::TimePoint now);
    /// Records that the operators' table is known up to @p version of the store.
    void recordOperatorVersion(RowVersion version) { m_operatorVersion = std::max(m_operatorVersion, version); }
    /// Returns true if the engine entry @p now only repeats @p before, as a heartbeat does.
    static bool isHeartbeat(const Row &before, const Row &now);
    void applyEngineRows(const TableChange &change, base::TimePoint now);
    void applyStatusRows(const TableChange &change);
    /// Applies rows of this system's own table. @p storeNowMs: the store's clock at @p now.
    void applyOwnRows(const TableChange &change, std::int64_t storeNowMs, base::TimePoint now);
    /// Applies a rollout status that this node has written itself, as row version @p row.
    void applyStatus(const std::string &service, const RolloutStatus &status, RowVersion row);
    /// Drops engines whose removal was unconfirmed and whose grace period has ended, and what the store has lost and
    /// its owners have not written again.
    void dropExpired(base::TimePoint now);

    const ConfigurationPtr &configuration() const { return m_configuration; }
    bool enginesLoaded() const { return m_enginesLoaded; }
    EngineTracker &engines() { return m_engines; }
    const EngineTracker &engines() const { return m_engines; }
    RolloutTracker &rollouts() { return m_rollouts; }
    const RolloutTracker &rollouts() const { return m_rollouts; }
    const std::set<std::string> &evacuatedDomains() const { return m_evacuated; }
    /// Number of nodes that may be sending requests to the engines; at least 1.
    unsigned nodes() const;
    const std::set<std::string> &nodeNames() const { return m_nodes; }
    /// True once the rows of all nodes have been read.
    bool nodesKnown() const { return m_nodesKnown; }
    /// Nodes that can be queried for table rows, except @p self.
    std::vector<PeerNode> peersOf(const std::string &self) const;
    /// True if a node but @p self reads evidence of rollouts from rows only, as earlier versions do.
    bool hasRowReaders(const std::string &self) const;
    /// Returns true if the store already holds just the row that @p node would write for itself.
    bool hasRowOf(const PeerNode &node) const;
    /// Row version of the rollout status of @p service, 0 if there is none.
    RowVersion statusVersion(const std::string &service) const;
    /// Row version of the rollout plan of @p service, 0 if there is none.
    RowVersion planVersion(const std::string &service) const;

    /// Engines of @p service that may get new requests: in no evacuated domain, of a permitted version.
    std::vector<Engine *> usableEngines(const std::string &service, VersionPreference preference);

private:
    /// Returns true if an order that brought the engine's version would have been read by now: orders are written
    /// before the engines that they bring.
    bool orderWouldBeKnown(const Engine &engine) const;
    void applyConfiguration(const Row &row);
    void applyEvacuation(const std::string &domain, const Row &row);
    /// Ends what the operators have removed: what @p change, a full read, does not list.
    void endUnlistedOrders(const TableChange &change, base::TimePoint now);
    void endOrder(const std::string &key);
    void dropLostNodes(base::TimePoint now);
    void applyRollout(const std::string &service, const Row &row, base::TimePoint now);
    void applyEngine(const Row &row, bool isNewEra, base::TimePoint now);
    void applyNode(const Row &row);
    void forgetNode(const std::string &name);
    void applyEvidence(const Row &row);
    void applyRolloutPlan(const Row &row, std::int64_t storeNowMs, base::TimePoint now);

    ConfigurationPtr m_configuration;
    RowVersion m_configurationRow;
    RowVersion m_operatorVersion;
    /// Row version of the first engine entry of each software version, by service and software version.
    std::map<std::pair<std::string, std::string>, RowVersion> m_firstEntries;
    std::set<std::string> m_evacuated;
    /// Keys of evacuations and rollout orders.
    LostRows m_lostOrders;
    /// Names of nodes.
    LostRows m_lostNodes;
    EngineTracker m_engines;
    bool m_enginesLoaded = false;
    RolloutTracker m_rollouts;
    std::map<std::string, RowVersion> m_statusVersions;
    std::map<std::string, RowVersion> m_planVersions;
    std::set<std::string> m_nodes;
    /// Rows of nodes as the store holds them, by name.
    std::map<std::string, std::string> m_nodeRows;
    bool m_nodesKnown = false;
    std::map<std::string, PeerNode> m_peers;
};

/// Table of this system's own rows, and its key prefixes for nodes, plans of rollouts, evidence about their versions,
/// evidence about crashes by node, and convictions of what crashes engines.
inline constexpr const char *ownTable = "ibisfork";
inline constexpr std::string_view nodePrefix = "node/";
inline constexpr std::string_view rolloutPlanPrefix = "rollout/";
inline constexpr std::string_view evidencePrefix = "evidence/";
inline constexpr std::string_view crashEvidencePrefix = "crashes/";
inline constexpr std::string_view convictionPrefix = "poison/";

} // namespace ibisfork::gateway
