#include "nodepaths.h"

#include <nlohmann/json.hpp>

namespace ibisfork::soak {

std::string NodePaths::rewrite(const std::string &entry)
{
    auto document = nlohmann::json::parse(entry);
    const auto address = document.at("address").get<std::string>();
    auto &path = m_paths[address];
    if (!path.link) {
        path.service = document.at("service").get<std::string>();
        path.link = std::make_unique<gateway::test::FaultProxy>(m_base, net::Address::parse(address));
        const auto cut = m_cuts.find(path.service);
        if (cut != m_cuts.end()) {
            path.link->cut(cut->second);
        }
    }
    document["address"] = path.link->address().text();
    return document.dump();
}

void NodePaths::cut(const std::string &service, gateway::test::PathCut way)
{
    m_cuts[service] = way;
    for (auto &[address, path] : m_paths) {
        if (path.service == service) {
            path.link->cut(way);
        }
    }
}

void NodePaths::heal(const std::string &service)
{
    m_cuts.erase(service);
    for (auto &[address, path] : m_paths) {
        if (path.service == service) {
            path.link->heal();
        }
    }
}

} // namespace ibisfork::soak
