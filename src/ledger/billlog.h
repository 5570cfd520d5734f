#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "platform/billstore.h"

namespace ibisfork::ledger {

/// Records of one incarnation's log that have not reached the platform yet.
class BillLog
{
public:
    /// @p capacity is the count of records from which no new work may be taken.
    BillLog(std::string incarnation, std::size_t capacity);

    /// Adds @p record; @p ticket names it to the caller.
    void add(std::string record, std::uint64_t ticket);

    const std::string &incarnation() const { return m_incarnation; }
    std::size_t size() const { return m_entries.size(); }
    bool full() const { return m_entries.size() >= m_capacity; }

    /// The next batch of at most @p most records. It stays the same until it is settled by one of the calls below.
    std::optional<platform::BillBatch> batch(std::size_t most);
    /// The batch is in the table; gives the tickets of its records.
    std::vector<std::uint64_t> appended();
    /// Another has closed this log at record @p next. Those before it are in the table, and their tickets are given;
    /// the others go on in a new log.
    std::vector<std::uint64_t> closedAt(std::uint64_t next, std::string newIncarnation);

private:
    struct Entry
    {
        std::string record;
        std::uint64_t ticket = 0;
    };

    std::vector<std::uint64_t> drop(std::size_t count);

    std::string m_incarnation;
    std::size_t m_capacity;
    std::deque<Entry> m_entries;
    std::uint64_t m_first = 0;
    std::size_t m_batched = 0;
};

} // namespace ibisfork::ledger
