#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/context.h"
#include "gateway/evidence/evidenceexchange.h"
#include "gateway/storeclient.h"
#include "gateway/tablewatch.h"

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
        std::string data;
        base::TimePoint heardAt{};
        Incarnation incarnation = 0;
        std::uint64_t serial = 0;
    };

    /// What the store has of one process.
    struct Stored
    {
        Incarnation incarnation = 0;
        std::uint64_t serial = 0;
    };

    void applyRow(const Row &row);
    bool isStored(const std::string &key, const NodeEvidence &evidence) const;
    /// How long this node leaves rows to the readers before it.
    base::Duration turnDelay() const;
    std::vector<DueRow> dueRows(base::TimePoint now) const;
    void write(std::vector<DueRow> rows);
    /// Takes one call from the limit; false if none is left.
    bool takeCall(base::TimePoint now);

    Context &m_context;
    StoreClient &m_store;
    const TableSource &m_source;
    EvidenceExchange &m_exchange;
    /// By row key.
    std::map<std::string, Stored> m_stored;
    bool m_isLoaded = false;
    bool m_isWriting = false;
    /// Calls that may be made at once, as of m_countedAt.
    double m_calls;
    base::TimePoint m_countedAt{};
};

} // namespace ibisfork::gateway::evidence
