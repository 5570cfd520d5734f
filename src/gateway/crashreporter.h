#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/context.h"
#include "gateway/evidence/evidenceexchange.h"
#include "gateway/storeclient.h"
#include "gateway/tablewatch.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Connects the node's CrashTracker to engines and to other nodes: finds out whether an engine that lost a run has
/// ended, exchanges evidence, and stores convictions as rows of this system's own table.
class CrashReporter
{
public:
    /// @p table: the watch of this system's own table, which knows the store's clock. @p verdictChanged is called when
    /// other requests than before are refused.
    CrashReporter(Context &context,
                  StoreClient &store,
                  const TableSource &source,
                  const TableWatch &table,
                  evidence::EvidenceExchange &exchange,
                  std::function<void()> verdictChanged);
    CrashReporter(const CrashReporter &) = delete;
    CrashReporter &operator=(const CrashReporter &) = delete;

    /// Records a run that was lost before it had begun to be answered, and checks its engine.
    void recordLostRun(const LostRun &run);
    /// Takes over rows of the own table.
    void applyRows(const TableChange &change);
    /// Takes over the evidence of all other nodes together.
    void applyFleetEvidence(const CrashEvidence &evidence);
    /// Tells what has changed and stores convictions. To be called a few times a second.
    void tick(base::TimePoint now);

private:
    /// Finds out, by a connection, whether an engine still accepts any.
    struct Probe
    {
        base::TimePoint beganAt;
        EngineEntry engine;
        /// nullptr while the node is cut off from the engine's service, and once the engine accepts connections again.
        std::unique_ptr<http::UpstreamConnection> connection;
        std::unique_ptr<net::Timer> timer;
        /// A connection was refused or failed.
        bool hasFailed = false;
        /// When a connection was first established after that.
        std::optional<base::TimePoint> acceptsAgainAt{};
    };

    /// Judges the probe again soon.
    void waitForDecision(Probe &probe);
    void openConnection(Probe &probe);
    /// Takes in what has become of the probe's connection.
    void observeConnection(Probe &probe);
    /// Probes @p engine, of which another run was lost, anew if it had accepted connections again.
    void repeatProbe(const EngineEntry &engine);
    void finishProbe(std::list<Probe>::iterator probe);
    /// True if the node has a path to the engine's service: one of its engines has answered since the run was lost.
    bool hasPath(const Probe &probe) const;
    /// True if another process is listed under the engine's id.
    bool isReplaced(const Probe &probe) const;
    /// True if the probe tells nothing yet.
    bool isUndecided(const Probe &probe) const;
    bool hasEnded(const Probe &probe) const;
    void applyRow(const Row &row);
    /// Takes over a row of evidence; this node's own only if it was shared before the node was started again.
    void applyEvidence(const Row &row);
    void checkVerdict();
    /// Tells other nodes what has changed.
    void share();
    /// Stores convictions that are due, unless a write is in progress.
    void writeConvictions(base::TimePoint now);
    void write(const std::vector<ConditionalWrite> &rows);

    Context &m_context;
    StoreClient &m_store;
    const TableSource &m_source;
    const TableWatch &m_table;
    evidence::EvidenceExchange &m_exchange;
    std::function<void()> m_verdictChanged;
    unsigned m_verdictSerial = 0;
    std::list<Probe> m_probes;
    base::TimePoint m_sharedAt{};
    /// Since when convictions have been due, by their groups' ids.
    std::map<std::string, base::TimePoint> m_convictionDueSince;
    bool m_hasReadRows = false;
    bool m_writing = false;
};

} // namespace ibisfork::gateway
