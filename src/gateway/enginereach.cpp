#include "gateway/enginereach.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// So many engines that fail in a row have the path in common even where a service has many more.
constexpr std::size_t maxEnginesNeeded = 6;

} // namespace

std::size_t EngineReach::enginesNeeded(std::size_t listed)
{
    const auto moreThanTwoThirds = listed * 2 / 3 + 1;
    return std::min({std::max<std::size_t>(1, listed), moreThanTwoThirds, maxEnginesNeeded});
}

bool EngineReach::recordUnreachable(const std::string &service, const std::string &engine, std::size_t listed)
{
    auto &silent = m_silent[service];
    silent.insert(engine);
    if (silent.size() < enginesNeeded(listed)) {
        return false;
    }
    return m_cutOff.insert(service).second;
}

bool EngineReach::recordAnswered(const std::string &service)
{
    m_silent.erase(service);
    return m_cutOff.erase(service) > 0;
}

} // namespace ibisfork::gateway
