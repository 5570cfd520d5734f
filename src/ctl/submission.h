#pragma once

#include <vector>

#include <ibisfork/coord/change.h>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// The fleet's rows as the node asked holds them. Throws NodeError.
coord::Snapshot readSnapshot(const Invocation &invocation);

/// Submits @p rows as one change made at @p heldRevision and waits until its state is final; gives the exit code.
int submit(const Invocation &invocation, coord::Revision heldRevision, const std::vector<coord::RowChange> &rows);

} // namespace ibisfork::ctl
