#pragma once

#include <map>
#include <set>
#include <string>

namespace ibisfork::gateway {

/// Judges, from this node's own attempts, whether it has a path to the engines of each service.
class EngineReach
{
public:
    /// Number of engines that must fail to answer, none having answered in between, of a service that lists @p listed.
    /// Fewer may be down by themselves.
    static std::size_t enginesNeeded(std::size_t listed);

    /// Records that no connection to @p engine could be established, or that it stayed silent. @p listed: number of
    /// engines of the service. Returns true if the node is cut off from the service from now on.
    bool recordUnreachable(const std::string &service, const std::string &engine, std::size_t listed);
    /// Records that an engine of @p service has begun to answer. Returns true if the node is no longer cut off.
    bool recordAnswered(const std::string &service);

    bool isCutOff(const std::string &service) const { return m_cutOff.contains(service); }
    const std::set<std::string> &cutOffServices() const { return m_cutOff; }

private:
    std::map<std::string, std::set<std::string>> m_silent;
    std::set<std::string> m_cutOff;
};

} // namespace ibisfork::gateway
