#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/tablesource.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Timing of the queries of one table.
struct WatchTiming
{
    /// Longest time that the store holds a query while there is no change. It bounds the time to detect a dead
    /// connection.
    std::chrono::milliseconds wait{1500};
    /// Pause between an answer of the store and the next query; changes in between arrive in one answer.
    std::chrono::milliseconds gap{0};
    /// Answers of other nodes that are older than this are rejected.
    std::chrono::milliseconds maxAge{1500};
    /// Owners that can't renew their rows for longer than this may lose them.
    std::chrono::milliseconds renewalTime{2000};
};

/// Rows received for a table: all of them or the changes since the last update.
struct TableChange
{
    std::vector<Row> rows;
    /// True: all rows of the table. False: changes, in order of version.
    bool isFullRead = false;
    /// Version of the table once these rows are applied.
    RowVersion version;
    /// First update after a store outage of more than the renewal time. Removals are unconfirmed: entries may have
    /// expired because their owners could not renew them.
    bool afterOutage = false;
    /// All rows of a store that has come back from an older copy since the last update: what was written shortly before
    /// may be missing until its owners write it again.
    bool isNewEra = false;
};

/// Follows one table, from the store or from another node: a full read, then its changes. During a store outage the
/// rows that were read stay in force.
class TableWatch
{
public:
    using Changed = std::function<void(const TableChange &)>;

    TableWatch(event_base *base, TableSource &source, std::string table, WatchTiming timing, Changed changed);
    TableWatch(const TableWatch &) = delete;
    TableWatch &operator=(const TableWatch &) = delete;

    void start();

    /// True once all rows have been read.
    bool loaded() const { return m_loaded; }
    /// When the store last confirmed the state of the table; nullopt before the first answer.
    std::optional<base::TimePoint> confirmedAt() const { return m_confirmedAt; }
    const std::string &table() const { return m_table; }
    /// Estimate of the store's steady clock, in milliseconds; this node's clock before the first answer.
    std::int64_t storeNowMs() const;
    RowVersion version() const { return m_version; }

private:
    void beginFullRead();
    void requestAllRows(const std::string &from);
    /// Returns true if @p batch belongs to another era than the pages of the current full read.
    bool isOfOtherEra(const RowBatch &batch) const;
    void handleAllRows(const ReadResult &result, bool fromStore);
    void requestChanges();
    void handleChanges(const ReadResult &result, bool fromStore);
    /// How long to wait with the next query after @p batch.
    base::Duration pauseAfter(const RowBatch &batch, bool fromStore) const;
    void recordAnswer(const RowBatch &batch);
    /// Notes that the store answers again, after it had last confirmed the table at @p lastConfirmed.
    void endOutage(const RowBatch &batch, std::optional<base::TimePoint> lastConfirmed);
    void handleFailure(StoreFailure failure, bool fromStore);
    void scheduleQuery(base::Duration delay);

    TableSource &m_source;
    std::string m_table;
    WatchTiming m_timing;
    Changed m_changed;
    net::Timer m_timer;
    TableChange m_fullRead;
    RowVersion m_version;
    RowVersion m_fullReadVersion;
    bool m_loaded = false;
    bool m_needsFullRead = true;
    base::TimePoint m_queriedAt;
    bool m_storeUnavailable = false;
    bool m_afterOutage = false;
    unsigned m_failures = 0;
    std::int64_t m_clockOffsetMs = 0;
    std::optional<base::TimePoint> m_confirmedAt;
};

} // namespace ibisfork::gateway
