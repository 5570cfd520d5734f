#pragma once

#include <map>
#include <memory>
#include <string>

#include "faultproxy.h"

namespace ibisfork::soak {

/// The paths from one node to all engines, which can be lost by service.
class NodePaths
{
public:
    explicit NodePaths(event_base *base)
        : m_base(base)
    { }

    /// The entry of an engine as this node gets it: its address is that of a path of the node's own.
    std::string rewrite(const std::string &entry);
    void cut(const std::string &service, gateway::test::PathCut way);
    void heal(const std::string &service);

private:
    struct Path
    {
        std::string service;
        std::unique_ptr<gateway::test::FaultProxy> link;
    };

    event_base *m_base;
    /// By the engine's address.
    std::map<std::string, Path> m_paths;
    std::map<std::string, gateway::test::PathCut> m_cuts;
};

} // namespace ibisfork::soak
