#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include <ibisfork/fleet/config.h>

namespace ibisfork::routing {

/// Maps bearer keys to workspaces for one revision of the configuration.
class KeyIndex
{
public:
    /// @p config must outlive the index.
    explicit KeyIndex(const fleet::Config &config);

    /// Returns the workspace that owns the plain-text @p key, or null if no workspace does.
    const fleet::Workspace *find(std::string_view key) const;

private:
    std::unordered_map<std::string, const fleet::Workspace *> m_workspaces;
};

} // namespace ibisfork::routing
