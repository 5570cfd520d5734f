#pragma once

#include <algorithm>

namespace ibisfork::gateway {

/// Nodes for which the bounds on false alarms of one node's test hold without a correction.
inline constexpr double nodesOfSmallFleet = 7;

/// Number of small fleets that @p nodes make up, at least 1. By chance one of the nodes finds a good version bad that
/// many times as often as in a small fleet, if each tests by the same bound.
inline double smallFleetsIn(unsigned nodes)
{
    return std::max(1.0, nodes / nodesOfSmallFleet);
}

} // namespace ibisfork::gateway
