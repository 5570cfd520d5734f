#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include <ibisfork/base/names.h>

#include "net/address.h"

namespace ibisfork::gateway {

/// One process of an engine: ids may be used again after a restart.
struct EngineProcess
{
    std::string id;
    /// Unix time of its start in milliseconds; 0 if unknown.
    std::int64_t startTimeMs = 0;
};

/// Entry of an engine in the platform's list, written by the engine.
struct EngineEntry
{
    std::string id;
    std::string service;
    net::Address address;
    std::string failureDomain;
    std::string softwareVersion;
    /// Number of requests that the engine runs at the same time.
    std::uint32_t slots = 1;
    /// The engine is draining and takes no new requests.
    bool draining = false;
    /// How much longer the engine stays cold, from the time it wrote the entry.
    std::chrono::milliseconds coldLeft{0};
    /// Unix time of the engine's start in milliseconds; 0 if unknown.
    std::int64_t startTimeMs = 0;

    EngineProcess process() const { return {id, startTimeMs}; }
    /// True if @p other contains nothing new; a cold time that has only run down is not new.
    bool isUnchangedIn(const EngineEntry &other) const;
};

/// An operator's order to move a service to the engines of another version.
struct RolloutOrder
{
    std::string service;
    std::string toVersion;
    /// Time in which the rollout should complete.
    std::chrono::milliseconds period{0};
};

enum class RolloutState { InProgress, Completed, Reverted };
inline constexpr std::array<base::Name<RolloutState>, 3> rolloutStateNames{{
    {RolloutState::InProgress, "in_progress"},
    {RolloutState::Completed, "completed"},
    {RolloutState::Reverted, "reverted"},
}};

/// Status of a rollout, as published to operators.
struct RolloutStatus
{
    std::string toVersion;
    RolloutState state = RolloutState::InProgress;
};

} // namespace ibisfork::gateway
