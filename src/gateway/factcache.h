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

/// The rows of one table as this node last read them, kept so that other nodes can ask for them and for what changed.
class FactCache
{
public:
    /// True if the data of a row says nothing that the data before did not say.
    using SaysNothingNew = std::function<bool(const Row &before, const Row &now)>;

    /// Rows for which @p saysNothingNew holds are kept but are no change; empty: every new version is one.
    explicit FactCache(SaysNothingNew saysNothingNew = {})
        : m_saysNothingNew(std::move(saysNothingNew))
    { }

    /// Takes all rows of the table as of @p version. Rows that are missing count as removed; @p doubtful: perhaps.
    void replace(const std::vector<Row> &rows, std::uint64_t version, bool doubtful, base::TimePoint now);
    /// Takes changes up to @p version. True if one of them says something new.
    bool apply(const std::vector<Row> &rows, std::uint64_t version, base::TimePoint now);

    bool filled() const { return m_filled; }
    std::uint64_t version() const { return m_version; }
    std::vector<Row> all() const;
    /// What changed after @p version, or nothing if that is no longer known.
    std::optional<std::vector<Row>> changesAfter(std::uint64_t version) const;

private:
    struct Kept
    {
        Row row;
        base::TimePoint since{};
        /// Version of the row that last said something new.
        std::uint64_t changed = 0;
    };

    bool take(const Row &row, base::TimePoint now);

    void forgetRemoved(base::TimePoint now);

    SaysNothingNew m_saysNothingNew;
    std::map<std::string, Kept> m_rows;
    std::uint64_t m_version = 0;
    /// Removals up to this version have been forgotten.
    std::uint64_t m_forgotten = 0;
    bool m_filled = false;
};

} // namespace ibisfork::gateway
