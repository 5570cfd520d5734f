#pragma once

#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// A node's copy of the fleet's rows. Its revision never goes down.
class Replica
{
public:
    Revision revision() const { return m_snapshot.revision; }
    const Rows &rows() const { return m_snapshot.rows; }
    const Snapshot &snapshot() const { return m_snapshot; }

    /// Takes @p snapshot if it is newer; returns whether it did.
    bool apply(Snapshot snapshot);

    /// Takes the next change; returns false for one already held.
    /// Throws CoordError if changes between are missing.
    bool apply(const Change &change);

private:
    Snapshot m_snapshot;
};

} // namespace ibisfork::coord
