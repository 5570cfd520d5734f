#include <ibisfork/coord/replica.h>

#include <ibisfork/coord/exceptions.h>

namespace ibisfork::coord {

bool Replica::apply(Snapshot snapshot)
{
    if (snapshot.revision <= m_snapshot.revision) {
        return false;
    }
    m_snapshot = std::move(snapshot);
    return true;
}

bool Replica::apply(const Change &change)
{
    if (change.revision <= m_snapshot.revision) {
        return false;
    }
    if (change.revision != m_snapshot.revision + 1) {
        throw CoordError(errormessage::revisionGap);
    }
    for (const auto &row : change.rows) {
        if (row.value) {
            m_snapshot.rows[row.key] = *row.value;
        } else {
            m_snapshot.rows.erase(row.key);
        }
    }
    m_snapshot.revision = change.revision;
    return true;
}

} // namespace ibisfork::coord
