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

// The time of the look-up depends on the digest of the key alone. Whoever guesses a key learns at most how far the
// digest of the guess agrees with one that is held, which says nothing about the key behind it.
const fleet::Workspace *KeyIndex::find(std::string_view key) const
{
    const auto found = m_workspaces.find(fleet::sha256Hex(key));
    return found == m_workspaces.end() ? nullptr : found->second;
}

} // namespace ibisfork::routing
