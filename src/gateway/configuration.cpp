#include "gateway/configuration.h"

#include <algorithm>

namespace ibisfork::gateway {

void Configuration::index()
{
    m_byHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_byHost[routes[i].host].push_back(i);
    }
    m_mostUrgent.clear();
    for (const auto &route : routes) {
        const auto own = std::clamp(route.priority, 0, lowestPriority);
        for (const auto &share : route.services) {
            if (share.weight > 0) {
                auto &priority = m_mostUrgent.try_emplace(share.service, own).first->second;
                priority = std::min(priority, own);
            }
        }
    }
    const auto longerPrefix = [this](std::size_t left, std::size_t right) {
        return routes[left].pathPrefix.size() > routes[right].pathPrefix.size();
    };
    for (auto &[host, indices] : m_byHost) {
        std::stable_sort(indices.begin(), indices.end(), longerPrefix);
    }
}

const Route *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(routes[index].pathPrefix)) {
            return &routes[index];
        }
    }
    return nullptr;
}

int Configuration::mostUrgentPriority(const std::string &service) const
{
    const auto found = m_mostUrgent.find(service);
    return found == m_mostUrgent.end() ? 0 : found->second;
}

const Service *Configuration::findService(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace ibisfork::gateway
