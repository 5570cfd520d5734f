#include "routing/keyindex.h"

#include <ibisfork/fleet/digest.h>

namespace ibisfork::routing {

KeyIndex::KeyIndex(const fleet::Config &config)
{
    for (const auto &[name, workspace] : config.workspaces) {
        for (const auto &hash : workspace.keyHashes) {
            m_workspaces.emplace(hash, &workspace);
        }
    }
}

// Keys are compared by digest, so the lookup time depends only on the digest of the given key. A timing attack reveals
// at most how much of that digest matches a stored one, which says nothing about the stored key.
const fleet::Workspace *KeyIndex::find(std::string_view key) const
{
    const auto found = m_workspaces.find(fleet::sha256Hex(key));
    return found == m_workspaces.end() ? nullptr : found->second;
}

} // namespace ibisfork::routing
