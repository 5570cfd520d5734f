#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/coord/claims.h>

#include "platform/tableclient.h"

namespace ibisfork::platform {

/// Claims as they are laid out in the platform's table: one row claim/WORKSPACE/KEY each.
class ClaimStore
{
public:
    explicit ClaimStore(TableClient &table);

    /// The row of @p key in @p workspace.
    static std::string rowKey(const std::string &workspace, const std::string &key);

    /// The claims under @p keys that exist; nothing if the table did not answer.
    void read(const std::vector<std::string> &keys, std::function<void(std::optional<coord::StoredClaims>)> done);
    /// All claims; nothing if the table did not answer.
    void readAll(std::function<void(std::optional<coord::StoredClaims>)> done);
    /// Writes all or none.
    void commit(const std::vector<coord::ClaimWrite> &writes, std::function<void(CommitOutcome)> done);

private:
    void readQuery(const ReadQuery &query, std::function<void(std::optional<coord::StoredClaims>)> done);

    TableClient &m_table;
};

} // namespace ibisfork::platform
