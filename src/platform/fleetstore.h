#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/coord/change.h>

#include "platform/tableclient.h"

namespace ibisfork::platform {

/// The newest revision and the version of the row that holds it.
struct FleetHead
{
    coord::Revision revision = 0;
    std::uint64_t rowVersion = 0;
};

/// A revision known to be accepted, and the member rows at it.
struct AcceptedRevision
{
    coord::Revision revision = 0;
    coord::Rows memberRows;
};

/// What the table holds for a node that starts.
struct StoredFleet
{
    coord::Snapshot snapshot;
    AcceptedRevision accepted;
};

/// A row that must stand as it is for a change to take effect.
struct ExpectedRow
{
    std::string key;
    std::string value;
};

/// A change and what must hold for it to take effect.
struct ChangeRequest
{
    coord::Change change;
    /// No other change after this revision may have touched the change's rows.
    std::optional<coord::Revision> baseRevision;
    std::optional<ExpectedRow> expected;
};

/// Committed: at the revision given. AlreadyCommitted: a change of this id took effect earlier, at that revision.
/// HeadMoved: another change came between; it may be tried again. Conflict: a condition of the change does not hold.
/// NotSent: it has not taken effect and will not.
enum class ChangeState { Committed, AlreadyCommitted, HeadMoved, Conflict, Unknown, NotSent };

struct ChangeOutcome
{
    ChangeState state = ChangeState::Unknown;
    coord::Revision revision = 0;
    /// The row over which there is a conflict.
    std::string row;
};

/// The fleet's rows and changes as they are laid out in the platform's table.
class FleetStore
{
public:
    explicit FleetStore(TableClient &table);

    void readHead(std::function<void(std::optional<FleetHead>)> done);
    /// The changes after @p revision in order; empty with a gap if the table no longer has them.
    void readChanges(coord::Revision revision, std::function<void(std::optional<std::vector<coord::Change>>)> done);
    void readFleet(std::function<void(std::optional<StoredFleet>)> done);
    /// Commits a change as the one after the newest revision; its id takes effect once.
    void commit(const ChangeRequest &request, std::function<void(ChangeOutcome)> done);
    /// Finds the revision of a change; 0 if none of this id took effect, nothing if the table does not answer.
    void findChange(const std::string &id, std::function<void(std::optional<coord::Revision>)> done);
    /// Keeps @p accepted for nodes that start; losing it costs time only.
    void writeAccepted(const AcceptedRevision &accepted);

private:
    void commitOnRows(const ChangeRequest &request, const StoredRows &rows, std::function<void(ChangeOutcome)> done);
    void commitAfter(const FleetHead &head, coord::Change change, std::function<void(ChangeOutcome)> done);

    TableClient &m_table;
};

} // namespace ibisfork::platform
