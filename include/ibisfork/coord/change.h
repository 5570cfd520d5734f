#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisfork::coord {

/// Number of a state of the fleet; each accepted change adds one.
using Revision = std::uint64_t;

using Rows = std::map<std::string, std::string>;

/// A row that a change writes, or removes where it has no value.
struct RowChange
{
    std::string key;
    std::optional<std::string> value;

    bool operator==(const RowChange &) const = default;
};

/// The rows that one transaction wrote and the revision it led to.
struct Change
{
    Revision revision = 0;
    std::string id;
    std::string author;
    std::string reason;
    std::vector<RowChange> rows;
};

/// All rows as they stood at one revision.
struct Snapshot
{
    Revision revision = 0;
    Rows rows;
};

} // namespace ibisfork::coord
