#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger.h"

namespace ibisfork::soak {

/// A time in which nodes had no path to the engines of a service.
struct LostPaths
{
    std::string service;
    std::set<std::size_t> nodes;
    base::TimePoint from{};
    base::TimePoint until{};
};

/// What is broken of the promise that callers of nodes without a path are served nearly as often as others: a line for
/// each of @p losses in which they were not.
std::vector<std::string> unfairLosses(const Ledger &ledger, const std::vector<LostPaths> &losses);

} // namespace ibisfork::soak
