#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/crashevidence.h"
#include "gateway/rolloutevidence.h"

namespace ibisfork::gateway::evidence {

/// Number that a process of a node draws at its start.
using Incarnation = std::uint64_t;

/// Serial of what a process tells first. The one below it stands for a row that says a part of that only.
inline constexpr std::uint64_t firstSerial = 2;

/// All that one process of a node has told about rollouts and crashes. It never takes anything back, so the evidence
/// with the higher serial says all that the other does.
struct NodeEvidence
{
    std::string node;
    Incarnation incarnation = 0;
    /// Rises with each change.
    std::uint64_t serial = 0;
    /// By service.
    std::map<std::string, RolloutEvidence> rollouts{};
    CrashEvidence crashes{};
};

/// Runs of a service's versions, summed over the processes that are in the same step of the same order.
struct ServiceEvidence
{
    std::string service;
    RolloutEvidence evidence;

    bool operator==(const ServiceEvidence &) const = default;
};

/// Evidence of several processes together.
struct FleetEvidence
{
    std::vector<ServiceEvidence> rollouts{};
    CrashEvidence crashes{};

    void add(const NodeEvidence &other);
    void add(const FleetEvidence &other);
    void add(const std::string &service, const RolloutEvidence &other);

    bool operator==(const FleetEvidence &) const = default;
};

} // namespace ibisfork::gateway::evidence
