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

enum class NoticeKind { ColdStart };
inline constexpr std::array<base::Name<NoticeKind>, 1> noticeKindNames{{
    {NoticeKind::ColdStart, "cold-start"},
}};

/// Evidence that one node saw and all others hear of soon; it decides nothing by itself.
struct PeerNotice
{
    NoticeKind kind = NoticeKind::ColdStart;
    /// What it is about; for a cold start the upstream.
    std::string subject;
    /// For a cold start the sign by which it was seen.
    std::string detail;
};

using FleetUpdate = std::variant<ConfigUpdate, ConfirmationUpdate, PeerNotice>;

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

/// A PeerNotice as a request is told to all other nodes.
using FleetRequest = std::variant<SubmitChange, FindChange, ReadRows, ReadHistory, LeaveFleet, UpdateTaken, PeerNotice>;

} // namespace ibisfork::fleettask
