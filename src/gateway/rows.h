#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>

namespace ibisfork::gateway {

/// One row of a table of the store.
struct Row
{
    std::string key;
    std::string data;
    std::uint64_t version = 0;
    bool removed = false;
    /// It vanished while the store was away, so it may come back.
    bool doubtful = false;
};

/// What the store answered to a read.
struct RowBatch
{
    std::vector<Row> rows;
    /// More rows follow the last one.
    bool more = false;
    std::uint64_t version = 0;
    /// The store's steady clock, in milliseconds.
    std::int64_t storeNowMs = 0;
    /// Time since the store said so; more than nothing if another node passed it on.
    std::chrono::milliseconds age{0};
};

/// A write of one row that holds only if the row still has @p expectedVersion.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::string data;
    /// 0: the row must not exist. Nothing: no condition.
    std::optional<std::uint64_t> expectedVersion;
};

/// What is known of a write.
enum class WriteOutcome {
    Done,
    ConditionFailed,
    NotDone, ///< The store did nothing.
    Unknown, ///< No answer: it may have been done, or may be done later.
};
inline constexpr std::array<base::Name<WriteOutcome>, 4> writeOutcomeNames{{
    {WriteOutcome::Done, "done"},
    {WriteOutcome::ConditionFailed, "condition_failed"},
    {WriteOutcome::NotDone, "not_done"},
    {WriteOutcome::Unknown, "unknown"},
}};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// Row version of the written rows, if the write was done.
    std::uint64_t version = 0;
};

} // namespace ibisfork::gateway
