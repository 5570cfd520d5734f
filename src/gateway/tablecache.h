#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/rows.h"

namespace ibisfork::gateway {

/// The rows of one table as this node last read them, kept to answer other nodes' queries for rows and changes.
class TableCache
{
public:
    /// Returns true if row @p now carries no new information compared with row @p before.
    using IsUnchanged = std::function<bool(const Row &before, const Row &now)>;

    /// Rows for which @p isUnchanged holds are stored but not reported as changes. Empty: every new version is a
    /// change.
    explicit TableCache(IsUnchanged isUnchanged = {})
        : m_isUnchanged(std::move(isUnchanged))
    { }

    /// Replaces the contents with all rows of the table as of @p version. Missing rows count as removed. @p doubtful:
    /// mark these removals as unconfirmed.
    void replace(const std::vector<Row> &rows, std::uint64_t version, bool doubtful, base::TimePoint now);
    /// Applies changes up to @p version. Returns true if one of them carries new information.
    bool apply(const std::vector<Row> &rows, std::uint64_t version, base::TimePoint now);

    bool filled() const { return m_filled; }
    std::uint64_t version() const { return m_version; }
    /// All rows that are not removed, by key.
    std::vector<Row> all() const;
    /// Rows changed or removed after @p version, by version; nullopt if the history does not reach back that far.
    std::optional<std::vector<Row>> changesAfter(std::uint64_t version) const;

private:
    struct Entry
    {
        Row row;
        base::TimePoint since{};
        /// Last version of the row that carried new information.
        std::uint64_t changed = 0;
    };

    bool applyRow(const Row &row, base::TimePoint now);

    void dropOldRemovals(base::TimePoint now);

    IsUnchanged m_isUnchanged;
    std::map<std::string, Entry> m_rows;
    std::uint64_t m_version = 0;
    /// Removals up to this version have been dropped, so the changes after an older version are not known.
    std::uint64_t m_historyStart = 0;
    bool m_filled = false;
};

} // namespace ibisfork::gateway
