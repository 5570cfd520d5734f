#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/context.h"
#include "gateway/evidence/evidenceexchange.h"
#include "gateway/storeclient.h"
#include "gateway/tablewatch.h"
#include "gateway/tokenbucket.h"

namespace ibisfork::gateway::evidence {

/// Stores evidence as rows where links between nodes don't carry it, and takes over the rows of others.
///
/// Readers of the store keep the crashes of all nodes there, so that they outlive the nodes. What a node holds of
/// rollouts is stored only while some other nodes may not hear of it: a link is lost, or nodes of earlier builds, which
/// read rows only, are there. Several rows go into one call, the newest first, and the calls of a node are limited.
class EvidenceRows
{
public:
    /// All arguments must outlive this object.
    EvidenceRows(Context &context, StoreClient &store, const TableSource &source, EvidenceExchange &exchange);

    /// Takes over rows of this system's own table.
    void applyRows(const TableChange &change);
    /// Writes what is due. To be called a few times a second, and when something has changed.
    void tick(base::TimePoint now);

private:
    /// A row of evidence to be written.
    struct DueRow
    {
        std::string key;
        const EvidenceTracker::Entry *entry = nullptr;
        /// Of a rollout; empty for a row about crashes.
        std::string service;
    };
    using Rows = std::map<std::string, DueRow>;

    void applyRow(const Row &row);
    bool isStored(const std::string &key, const NodeEvidence &evidence) const;
    /// How long this node leaves rows to the readers before it.
    base::Duration turnDelay() const;
    static std::vector<DueRow> newestFirst(Rows rows);
    static void limit(std::vector<DueRow> &rows, std::size_t most);
    static std::string encode(const DueRow &row);
    /// Adds @p row unless the store has it, a later process of the node has told more, or it is another reader's turn.
    void addIfDue(Rows &rows, DueRow row, base::TimePoint now) const;
    std::vector<DueRow> dueCrashRows(base::TimePoint now) const;
    std::vector<DueRow> dueRolloutRows(base::TimePoint now) const;
    void write(StoreCallCause cause, const std::vector<DueRow> &rows);

    Context &m_context;
    StoreClient &m_store;
    const TableSource &m_source;
    EvidenceExchange &m_exchange;
    /// What the store has of one process, by row key.
    std::map<std::string, Held> m_stored;
    bool m_isLoaded = false;
    bool m_isWriting = false;
    TokenBucket m_calls;
    base::TimePoint m_rolloutsWrittenAt{};
};

} // namespace ibisfork::gateway::evidence
