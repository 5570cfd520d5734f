#pragma once

#include <set>

#include <ibisfork/base/clock.h>

#include "gateway/evidence/nodeevidence.h"

namespace ibisfork::gateway::evidence {

/// Keeps the latest evidence of each process that this node has heard of. What comes twice, late or by two ways counts
/// once.
class EvidenceTracker
{
public:
    struct Entry
    {
        NodeEvidence evidence;
        base::TimePoint heardAt{};
        /// version() when the entry last changed.
        std::uint64_t changed = 0;
    };
    using Entries = std::map<Incarnation, Entry>;

    /// Takes over @p evidence; false if as much is known of its process.
    bool put(NodeEvidence evidence, base::TimePoint now);
    /// Takes over what a row says of one service only; the process may have told more with the same serial.
    bool putPart(const NodeEvidence &part, base::TimePoint now);
    void forget(Incarnation incarnation);
    /// Forgets processes that have told nothing for long.
    void dropOld(base::TimePoint now);

    /// Rises with each change.
    std::uint64_t version() const { return m_version; }
    const Entries &entries() const { return m_entries; }
    /// Highest serial known of a process, 0 if none is.
    std::uint64_t serialOf(Incarnation incarnation) const;
    /// Sum over the processes in @p included, less those in @p excluded.
    FleetEvidence sum(const std::set<Incarnation> &included, const std::set<Incarnation> &excluded) const;
    /// Sum over all processes less those in @p excluded.
    FleetEvidence sum(const std::set<Incarnation> &excluded) const;

private:
    Entries m_entries;
    std::uint64_t m_version = 0;
};

} // namespace ibisfork::gateway::evidence
