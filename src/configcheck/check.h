#pragma once

#include <vector>

#include "configcheck/finding.h"
#include "gateway/configuration.h"

namespace ibisfork::configcheck {

/// Errors, entries that can never match and limits that contradict each other in @p configuration.
std::vector<Finding> check(const gateway::Configuration &configuration);

/// What @p next changes of @p inForce. Keys of workspaces are counted, never named.
std::vector<Finding> difference(const gateway::Configuration &inForce, const gateway::Configuration &next);

} // namespace ibisfork::configcheck
