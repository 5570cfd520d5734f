#include "gateway/configuration.h"

#include <algorithm>

namespace ibisfork::gateway {

void Configuration::index()
{
    m_byHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_byHost[routes[i].host].push_back(i);
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

const Service *Configuration::findService(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace ibisfork::gateway
