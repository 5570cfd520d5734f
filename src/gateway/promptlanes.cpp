#include "gateway/promptlanes.h"

#include <algorithm>
#include <cmath>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

constexpr std::string_view laneKey = "long prompts";
/// Work that any request makes besides reading its prompt, in prompt tokens.
constexpr double fixedWork = 1000;
/// Work over which the share is averaged, in prompt tokens; some seconds of a node's traffic.
constexpr double averagedWork = 500000;
constexpr std::size_t leastEngines = 4;
/// Long prompts run few at a time, so their engines are used less evenly and need some room.
constexpr double headroom = 1.15;

} // namespace

void PromptLanes::count(std::uint32_t tokens)
{
    const double work = tokens + fixedWork;
    const double longWork = tokens >= longTokens ? work : 0;
    m_work = std::min(m_work + work, averagedWork);
    m_longShare += (longWork / work - m_longShare) * work / m_work;
}

std::vector<Engine *> PromptLanes::enginesFor(std::uint32_t tokens, const std::vector<Engine *> &engines) const
{
    if (engines.size() < leastEngines) {
        return engines;
    }
    const auto wanted
        = static_cast<std::size_t>(std::lround(headroom * m_longShare * static_cast<double>(engines.size())));
    if (wanted == 0) {
        return engines;
    }
    const auto count = std::min(wanted, engines.size() - 1);
    auto sorted = engines;
    const auto heavier = [](const Engine *left, const Engine *right) {
        return coord::rendezvousWeight(laneKey, left->entry.id) > coord::rendezvousWeight(laneKey, right->entry.id);
    };
    std::sort(sorted.begin(), sorted.end(), heavier);
    const auto border = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    return tokens >= longTokens ? std::vector<Engine *>(sorted.begin(), border)
                                : std::vector<Engine *>(border, sorted.end());
}

} // namespace ibisfork::gateway
