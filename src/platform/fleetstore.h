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

/// Committed: at the revision given. AlreadyCommitted: a change of this id took effect earlier, at that revision.
enum class ChangeState { Committed, AlreadyCommitted, Conflict, Unknown, NotSent };

struct ChangeOutcome
{
    ChangeState state = ChangeState::Unknown;
    coord::Revision revision = 0;
};

/// The fleet's rows and changes as they are laid out in the platform's table.
class FleetStore
{
public:
    explicit FleetStore(TableClient &table);

    void readHead(std::function<void(std::optional<FleetHead>)> done);
    /// The changes after @p revision in order; empty with a gap if the table no longer has them.
    void readChanges(coord::Revision revision, std::function<void(std::optional<std::vector<coord::Change>>)> done);
    void readSnapshot(std::function<void(std::optional<coord::Snapshot>)> done);
    /// Commits @p change as the one after the newest revision; its id takes effect once.
    void commit(const coord::Change &change, std::function<void(ChangeOutcome)> done);

private:
    void commitAfter(const FleetHead &head, coord::Change change, std::function<void(ChangeOutcome)> done);

    TableClient &m_table;
};

} // namespace ibisfork::platform
