#pragma once

#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// A node's copy of the fleet's rows. The revision never decreases.
class Replica
{
public:
    Revision revision() const { return m_snapshot.revision; }
    const Rows &rows() const { return m_snapshot.rows; }
    const Snapshot &snapshot() const { return m_snapshot; }

    /// Replaces the rows by @p snapshot if that is newer; returns whether they were replaced.
    bool apply(Snapshot snapshot);

    /// Applies the change that follows the current revision; returns false if @p change is already included.
    /// Throws CoordError if changes in between are missing.
    bool apply(const Change &change);

private:
    Snapshot m_snapshot;
};

} // namespace ibisfork::coord
