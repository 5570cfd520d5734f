#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>
#include <ibisfork/fleet/config.h>

#include "platform/fleetstore.h"

namespace ibisfork::fleettask {

/// The fleet at a new revision, from the fleet task to the others.
struct ConfigUpdate
{
    std::shared_ptr<const fleet::Config> config;
};

/// Until when work may be admitted under a revision, on this node's clock.
struct ConfirmationUpdate
{
    coord::Revision revision = 0;
    base::TimePoint until{};
};

using FleetUpdate = std::variant<ConfigUpdate, ConfirmationUpdate>;

/// An operator's change, to the fleet task. The reply runs on the fleet task's thread.
struct SubmitChange
{
    coord::Change change;
    std::function<void(platform::ChangeOutcome)> reply;
};

/// Asks for the rows at the revision held.
struct ReadRows
{
    std::function<void(coord::Snapshot)> reply;
};

/// Asks for the changes after a revision, from the table.
struct ReadHistory
{
    coord::Revision after = 0;
    std::function<void(std::optional<std::vector<coord::Change>>)> reply;
};

using FleetRequest = std::variant<SubmitChange, ReadRows, ReadHistory>;

} // namespace ibisfork::fleettask
