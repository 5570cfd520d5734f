#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <set>
#include <string>
#include <vector>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// What callers got of their requests; engines' own failures and callers that left are not counted.
struct ServedShare
{
    std::uint64_t served = 0;
    std::uint64_t asked = 0;

    /// Between 0 and 1; 1 if nothing was asked.
    double share() const { return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked); }
};

/// A time in which nodes had no path to the engines of a service. Times are Unix milliseconds.
struct CutOffSpan
{
    std::string service;
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds until{0};
    std::set<std::string> nodes;
    ServedShare atCutOffNodes;
    ServedShare atOthers;
};

/// The spans that the lines of @p log tell of, which are those of all nodes; a line may have a prefix. Spans of one
/// service that overlap are one.
std::vector<CutOffSpan> cutOffSpans(std::istream &log);

/// Prints, for each time in which nodes had no path to a service, what their callers were served beside those of the
/// other nodes.
int logCutOffs(const Invocation &invocation);

} // namespace ibisfork::ctl
