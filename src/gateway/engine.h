#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include <ibisfork/base/names.h>

#include "net/address.h"

namespace ibisfork::gateway {

/// What an engine says of itself in the platform's list.
struct EngineEntry
{
    std::string id;
    std::string service;
    net::Address address;
    std::string failureDomain;
    std::string softwareVersion;
    std::uint32_t slots = 1;
    bool leaving = false;
    /// How much longer the engine stays cold, from when it wrote the entry.
    std::chrono::milliseconds coldLeft{0};
    /// Unix time of its start in milliseconds; 0 if it does not say.
    std::int64_t born = 0;

    /// True if @p other tells nothing that this entry did not tell; a cold time that runs out is nothing new.
    bool repeatedBy(const EngineEntry &other) const;
};

/// An operator's order to move a service to the engines of another version.
struct RolloutOrder
{
    std::string service;
    std::string toVersion;
    std::chrono::milliseconds period{0};
};

enum class RolloutState { InProgress, Completed, Reverted };
inline constexpr std::array<base::Name<RolloutState>, 3> rolloutStateNames{{
    {RolloutState::InProgress, "in_progress"},
    {RolloutState::Completed, "completed"},
    {RolloutState::Reverted, "reverted"},
}};

/// What this system says of a roll-out to operators.
struct RolloutStatus
{
    std::string toVersion;
    RolloutState state = RolloutState::InProgress;
};

} // namespace ibisfork::gateway
