#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/storeclient.h"

namespace ibisfork::gateway {

/// How often a table is asked for changes.
struct WatchTiming
{
    /// Longest time that the store holds a question without a change. It bounds how long a connection that has gone
    /// silent is not noticed.
    std::chrono::milliseconds wait{1500};
    /// Shortest time between two questions; changes in between come in one answer.
    std::chrono::milliseconds gap{0};
};

/// What an answer of the store says of a table.
struct TableChange
{
    std::vector<Row> rows;
    /// The rows are all rows of the table; otherwise they are changes, in order.
    bool whole = false;
    /// The first answer after the store was away. Entries that are missing may have lapsed meanwhile.
    bool afterOutage = false;
};

/// Keeps up with one table of the store: a full read, then its changes. While the store is away what was read stays.
class TableWatch
{
public:
    using Changed = std::function<void(const TableChange &)>;

    TableWatch(event_base *base, StoreClient &client, std::string table, WatchTiming timing, Changed changed);
    TableWatch(const TableWatch &) = delete;
    TableWatch &operator=(const TableWatch &) = delete;

    void start();

    /// True once all rows have been read.
    bool loaded() const { return m_loaded; }
    /// When the last answer came; nothing before the first.
    std::optional<base::TimePoint> lastAnswer() const { return m_lastAnswer; }
    /// The store's steady clock, in milliseconds, as far as it is known.
    std::int64_t storeNowMs() const;
    std::uint64_t version() const { return m_version; }

private:
    void askAll(const std::string &from);
    void takeAll(const ReadResult &result);
    void askChanges();
    void takeChanges(const ReadResult &result);
    void noteAnswer(const RowBatch &batch);
    void noteFailure(StoreFailure failure);
    void next(base::Duration delay);

    StoreClient &m_client;
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
    std::optional<base::TimePoint> m_lastAnswer;
};

} // namespace ibisfork::gateway
