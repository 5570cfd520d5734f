#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include <ibisfork/fleet/config.h>

namespace ibisfork::routing {

/// Finds the workspace of a bearer key at one revision.
class KeyIndex
{
public:
    /// @p config must live as long as the index.
    explicit KeyIndex(const fleet::Config &config);

    /// The workspace that holds @p key, or null.
    const fleet::Workspace *find(std::string_view key) const;

private:
    std::unordered_map<std::string, const fleet::Workspace *> m_workspaces;
};

} // namespace ibisfork::routing
