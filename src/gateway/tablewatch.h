#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/factsource.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// How often a table is asked for changes.
struct WatchTiming
{
    /// Longest time that the store holds a question without a change. It bounds how long a connection that has gone
    /// silent is not noticed.
    std::chrono::milliseconds wait{1500};
    /// Shortest time between two questions; changes in between come in one answer.
    std::chrono::milliseconds gap{0};
    /// Facts older than this are not taken from another node.
    std::chrono::milliseconds longestAge{1500};
};

/// What an answer of the store says of a table.
struct TableChange
{
    std::vector<Row> rows;
    /// The rows are all rows of the table; otherwise they are changes, in order.
    bool whole = false;
    /// Version of the table that these rows bring it to.
    std::uint64_t version = 0;
    /// The first answer after the store was away. Entries that are missing may have lapsed meanwhile.
    bool afterOutage = false;
};

/// Keeps up with one table, from the store or from another node: a full read, then its changes. While the store is away
/// what was read stays.
class TableWatch
{
public:
    using Changed = std::function<void(const TableChange &)>;

    TableWatch(event_base *base, FactSource &source, std::string table, WatchTiming timing, Changed changed);
    TableWatch(const TableWatch &) = delete;
    TableWatch &operator=(const TableWatch &) = delete;

    void start();

    /// True once all rows have been read.
    bool loaded() const { return m_loaded; }
    /// When the store last confirmed what is known here; nothing before the first answer.
    std::optional<base::TimePoint> confirmedAt() const { return m_confirmedAt; }
    const std::string &table() const { return m_table; }
    /// The store's steady clock, in milliseconds, as far as it is known.
    std::int64_t storeNowMs() const;
    std::uint64_t version() const { return m_version; }

private:
    void askAll(const std::string &from);
    void takeAll(const ReadResult &result, bool fromStore);
    void askChanges();
    void takeChanges(const ReadResult &result, bool fromStore);
    void noteAnswer(const RowBatch &batch);
    void noteFailure(StoreFailure failure, bool fromStore);
    void next(base::Duration delay);

    FactSource &m_source;
    std::string m_table;
    WatchTiming m_timing;
    Changed m_changed;
    net::Timer m_timer;
    TableChange m_gathered;
    std::uint64_t m_version = 0;
    std::uint64_t m_gatherVersion = 0;
    bool m_loaded = false;
    bool m_needAll = true;
    bool m_away = false;
    bool m_afterOutage = false;
    unsigned m_failures = 0;
    std::int64_t m_clockOffsetMs = 0;
    std::optional<base::TimePoint> m_confirmedAt;
};

} // namespace ibisfork::gateway
