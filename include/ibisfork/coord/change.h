#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisfork::coord {

/// Version number of the fleet's rows; each committed change increments it by one. 0 is the empty state.
using Revision = std::uint64_t;

/// Row values by key.
using Rows = std::map<std::string, std::string>;

/// A write of one row; a row change without a value removes the row.
struct RowChange
{
    std::string key;
    std::optional<std::string> value;

    bool operator==(const RowChange &) const = default;
};

/// One committed transaction: the rows written and the resulting revision.
struct Change
{
    Revision revision = 0;
    std::string id;
    std::string author;
    std::string reason;
    std::vector<RowChange> rows;
};

/// All rows at one revision.
struct Snapshot
{
    Revision revision = 0;
    Rows rows;
};

} // namespace ibisfork::coord
