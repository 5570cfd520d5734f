#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>
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
    /// No node is confirmed at a revision older than this. What moves from one node to another by a revision
    /// may be used by its new holder only once that revision is accepted.
    coord::Revision accepted = 0;
    /// Called by the receiver once it acts on the update.
    std::function<void()> taken;
};

using FleetUpdate = std::variant<ConfigUpdate, ConfirmationUpdate>;

/// What became of an operator's change. Accepted and Refused are final.
enum class ChangeProgress { Pending, Accepted, Refused, Unknown };
inline constexpr std::array<base::Name<ChangeProgress>, 4> changeProgressNames{{
    {ChangeProgress::Pending, "pending"},
    {ChangeProgress::Accepted, "accepted"},
    {ChangeProgress::Refused, "refused"},
    {ChangeProgress::Unknown, "unknown"},
}};

struct ChangeStatus
{
    std::string id;
    ChangeProgress progress = ChangeProgress::Unknown;
    coord::Revision revision = 0;
    std::string message;
};

/// An operator's change, to the fleet task. The reply runs on the fleet task's thread.
struct SubmitChange
{
    platform::ChangeRequest request;
    std::function<void(ChangeStatus)> reply;
};

/// Asks what became of a change.
struct FindChange
{
    std::string id;
    std::function<void(ChangeStatus)> reply;
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

/// Takes this node out of the member list; it dispatches nothing from then on.
struct LeaveFleet
{
    std::function<void()> left;
};

/// The serving task acts on what it was told when the newest revision known was this.
struct UpdateTaken
{
    coord::Revision newest = 0;
};

using FleetRequest = std::variant<SubmitChange, FindChange, ReadRows, ReadHistory, LeaveFleet, UpdateTaken>;

} // namespace ibisfork::fleettask
