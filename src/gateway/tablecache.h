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
    /// mark these removals as unconfirmed. With a new era the history begins anew.
    void replace(const std::vector<Row> &rows, RowVersion version, bool doubtful, base::TimePoint now);
    /// Applies changes up to @p version. Returns true if one of them carries new information.
    bool apply(const std::vector<Row> &rows, RowVersion version, base::TimePoint now);

    bool filled() const { return m_filled; }
    RowVersion version() const { return m_version; }
    /// All rows that are not removed, by key.
    std::vector<Row> all() const;
    /// Rows changed or removed after @p version, by version; nullopt if the history does not reach back that far or is
    /// of another era.
    std::optional<std::vector<Row>> changesAfter(RowVersion version) const;

private:
    struct Entry
    {
        Row row;
        base::TimePoint since{};
        /// Last version of the row that carried new information.
        RowVersion changed;
    };

    bool applyRow(const Row &row, base::TimePoint now);

    void dropOldRemovals(base::TimePoint now);

    IsUnchanged m_isUnchanged;
    std::map<std::string, Entry> m_rows;
    RowVersion m_version;
    /// Removals up to this version have been dropped, so the changes after an older version are not known.
    RowVersion m_historyStart;
    bool m_filled = false;
};

} // namespace ibisfork::gateway
