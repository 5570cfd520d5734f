#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/enginetracker.h"
#include "gateway/rollouttracker.h"
#include "gateway/rows.h"
#include "gateway/tablewatch.h"

namespace ibisfork::gateway {

/// What this node believes of configuration, engines, roll-outs and other nodes: the newest of what it has read.
/// Nothing in it goes back to an older version.
class FleetView
{
public:
    /// Take what a table of the store holds.
    void takeOperatorRows(const TableChange &change, base::TimePoint now);
    /// True if @p now is only a heartbeat of the engine whose entry was @p before.
    static bool isHeartbeat(const Row &before, const Row &now);
    void takeEngineRows(const TableChange &change, base::TimePoint now);
    void takeStatusRows(const TableChange &change);
    /// @p storeNowMs: the store's clock at @p now.
    void takeOwnRows(const TableChange &change, std::int64_t storeNowMs, base::TimePoint now);
    /// Takes the status that this node has written itself.
    void takeStatus(const std::string &service, const RolloutStatus &status, std::uint64_t row);
    /// Counts of engines that requests took down, by fingerprint, which this node has read and not yet handed on.
    std::map<std::string, unsigned> takeCrashes() { return std::exchange(m_crashes, {}); }
    /// Ends the doubt about engines whose time is up.
    void expire(base::TimePoint now);

    const ConfigurationPtr &configuration() const { return m_configuration; }
    bool knowsEngines() const { return m_knowsEngines; }
    EngineTracker &engines() { return m_engines; }
    const EngineTracker &engines() const { return m_engines; }
    RolloutTracker &rollouts() { return m_rollouts; }
    const RolloutTracker &rollouts() const { return m_rollouts; }
    const std::set<std::string> &evacuated() const { return m_evacuated; }
    /// Nodes that may be sending to the engines; at least 1.
    unsigned nodes() const;
    /// The nodes that can be asked for facts, without @p self.
    std::vector<FactPeer> peersOf(const std::string &self) const;
    /// Whether the store's row of @p node says what the node would write.
    bool lists(const FactPeer &node) const;
    /// The version of the row of a roll-out's status, 0 if there is none.
    std::uint64_t statusVersion(const std::string &service) const;

    /// Engines that may get new work of @p service.
    std::vector<Engine *> usable(const std::string &service, VersionPreference preference);

private:
    void takeConfiguration(const Row &row);
    void takeRollout(const std::string &service, const Row &row, base::TimePoint now);
    void takeEngine(const Row &row, base::TimePoint now);
    void takeNode(const Row &row);
    void takeCrash(const Row &row);
    void takeRolloutStart(const Row &row, std::int64_t storeNowMs, base::TimePoint now);

    ConfigurationPtr m_configuration;
    std::uint64_t m_configurationRow = 0;
    std::set<std::string> m_evacuated;
    EngineTracker m_engines;
    bool m_knowsEngines = false;
    RolloutTracker m_rollouts;
    std::map<std::string, std::uint64_t> m_statusVersions;
    std::set<std::string> m_nodes;
    std::map<std::string, unsigned> m_crashes;
    std::map<std::string, FactPeer> m_peers;
};

/// The table of this system's own rows, and the prefixes of the keys under which nodes, the starts of roll-outs
/// and requests that crash engines stand there.
inline constexpr const char *ownTable = "ibisfork";
inline constexpr std::string_view nodePrefix = "node/";
inline constexpr std::string_view rolloutStartPrefix = "rollout/";
inline constexpr std::string_view crashPrefix = "crash/";

} // namespace ibisfork::gateway
