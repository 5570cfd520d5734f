#include "gateway/tablecache.h"

#include <algorithm>
#include <set>

namespace ibisfork::gateway {

namespace {

/// How long removed rows are kept. A node that has not queried for longer must read all rows again.
constexpr std::chrono::seconds removalRetention{20};

} // namespace

void TableCache::replace(const std::vector<Row> &rows, RowVersion version, bool doubtful, base::TimePoint now)
{
    if (version.era() != m_version.era()) {
        // Nothing is known of the changes between the eras.
        m_rows.clear();
        m_filled = false;
    }
    std::set<std::string> present;
    for (const auto &row : rows) {
        present.insert(row.key);
    }
    std::vector<Row> changes = rows;
    for (const auto &[key, kept] : m_rows) {
        if (!kept.row.removed && !present.contains(key)) {
            changes.push_back({key, {}, version, true, doubtful});
        }
    }
    if (!m_filled) {
        m_historyStart = version;
    }
    m_filled = true;
    apply(changes, version, now);
}

bool TableCache::applyRow(const Row &row, base::TimePoint now)
{
    auto &kept = m_rows[row.key];
    if (kept.row.version > row.version) {
        return false;
    }
    const bool both = kept.changed != RowVersion() && !kept.row.removed && !row.removed;
    const bool isNew = !both || !m_isUnchanged || !m_isUnchanged(kept.row, row);
    kept = {row, now, isNew ? row.version : kept.changed};
    return isNew;
}

bool TableCache::apply(const std::vector<Row> &rows, RowVersion version, base::TimePoint now)
{
    bool changed = false;
    for (const auto &row : rows) {
        changed = applyRow(row, now) || changed;
    }
    m_version = std::max(m_version, version);
    dropOldRemovals(now);
    return changed;
}

void TableCache::dropOldRemovals(base::TimePoint now)
{
    for (auto item = m_rows.begin(); item != m_rows.end();) {
        const auto &kept = item->second;
        if (kept.row.removed && now - kept.since > removalRetention) {
            m_historyStart = std::max(m_historyStart, kept.row.version);
            item = m_rows.erase(item);
        } else {
            ++item;
        }
    }
}

std::vector<Row> TableCache::all() const
{
    std::vector<Row> rows;
    for (const auto &[key, kept] : m_rows) {
        if (!kept.row.removed) {
            rows.push_back(kept.row);
        }
    }
    return rows;
}

std::optional<std::vector<Row>> TableCache::changesAfter(RowVersion version) const
{
    if (!m_filled || version < m_historyStart || version.era() != m_version.era()) {
        return std::nullopt;
    }
    std::vector<Row> rows;
    for (const auto &[key, kept] : m_rows) {
        if (kept.changed > version) {
            rows.push_back(kept.row);
        }
    }
    std::sort(rows.begin(), rows.end(), [](const Row &left, const Row &right) { return left.version < right.version; });
    return rows;
}

} // namespace ibisfork::gateway
