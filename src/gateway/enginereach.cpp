#include "gateway/enginereach.h"

#include <algorithm>

#include "gateway/enginepause.h"

namespace ibisfork::gateway {

namespace {

/// So many engines that fail in a row have the path in common even where a service has many more.
constexpr std::size_t maxEnginesNeeded = 6;
/// One engine may be silent by itself, as many are on a busy day.
constexpr std::size_t enginesToSuspect = 2;

} // namespace

std::size_t EngineReach::enginesNeeded(std::size_t listed)
{
    const auto moreThanTwoThirds = listed * 2 / 3 + 1;
    return std::min({std::max<std::size_t>(1, listed), moreThanTwoThirds, maxEnginesNeeded});
}

bool EngineReach::recordUnreachable(const std::string &service, const std::string &engine, std::size_t listed)
{
    auto &failures = m_failures[service];
    failures.silent.erase(engine);
    failures.unreachable.insert(engine);
    return failures.unreachable.size() >= enginesNeeded(listed) && m_cutOff.insert(service).second;
}

bool EngineReach::recordSilent(const std::string &service,
                               const std::string &engine,
                               std::size_t listed,
                               base::TimePoint now)
{
    auto &failures = m_failures[service];
    if (failures.silent.empty()) {
        failures.silentSince = now;
    }
    if (!failures.unreachable.contains(engine)) {
        failures.silent.insert(engine);
    }
    const bool isNoPause = now - failures.silentSince >= longestPause;
    return isNoPause && failures.count() >= enginesNeeded(listed) && m_cutOff.insert(service).second;
}

bool EngineReach::isSuspected(const std::string &service, std::size_t listed) const
{
    const auto found = m_failures.find(service);
    if (found == m_failures.end()) {
        return false;
    }
    return found->second.count() >= std::min(enginesToSuspect, enginesNeeded(listed));
}

bool EngineReach::hasFailed(const std::string &service, const std::string &engine) const
{
    const auto found = m_failures.find(service);
    return found != m_failures.end()
        && (found->second.unreachable.contains(engine) || found->second.silent.contains(engine));
}

std::size_t EngineReach::failuresMissing(const std::string &service, std::size_t listed) const
{
    const auto found = m_failures.find(service);
    const auto failed = found == m_failures.end() ? 0 : found->second.count();
    return enginesNeeded(listed) - std::min(enginesNeeded(listed), failed);
}

std::optional<base::TimePoint> EngineReach::answeredAt(const std::string &service) const
{
    const auto found = m_answeredAt.find(service);
    return found == m_answeredAt.end() ? std::nullopt : std::optional(found->second);
}

bool EngineReach::recordAnswered(const std::string &service, base::TimePoint now)
{
    m_answeredAt[service] = now;
    m_failures.erase(service);
    return m_cutOff.erase(service) > 0;
}

} // namespace ibisfork::gateway
