#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>

#include "faultproxy.h"

namespace ibisfork::gateway::test {

/// What else goes on while nodes are cut off from engines.
enum class Beside {
    Nothing,
    EngineDown, ///< One engine that all nodes could reach refuses connections.
    StoreAway, ///< No node gets an answer of the store.
    NodeStarts, ///< A cut-off node is killed and starts again.
    Configuration, ///< The operators write a new one.
};

/// One time in which nodes have no path to engines.
struct CutSpell
{
    PathCut way = PathCut::Silent;
    /// Indexes of the nodes that are cut off, by service.
    std::map<std::string, std::set<std::size_t>> nodes;
    base::Duration lasts{};
    Beside beside = Beside::Nothing;
    /// One engine of each service stays in reach.
    bool sparesOne = false;
};

struct CutPlan
{
    std::size_t nodes = 0;
    /// Engines by service.
    std::map<std::string, std::size_t> engines;
    std::vector<CutSpell> spells;
};

/// Draws a plan: each service loses nodes of its own, a third of them to all but one.
CutPlan drawCutPlan(std::uint64_t seed);

std::string describe(const CutSpell &spell);

} // namespace ibisfork::gateway::test
