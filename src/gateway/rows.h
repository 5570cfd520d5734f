#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>

#include "gateway/rowversion.h"

namespace ibisfork::gateway {

/// One row of a store table.
struct Row
{
    std::string key;
    std::string data;
    RowVersion version;
    bool removed = false;
    /// The removal was found after a store outage and is unconfirmed: the row may reappear.
    bool doubtful = false;
};

/// Answer to a read of a table, from the store or from another node.
struct RowBatch
{
    std::vector<Row> rows;
    /// The table has more rows after the last one.
    bool hasMore = false;
    RowVersion version;
    /// The store's steady clock, in milliseconds.
    std::int64_t storeNowMs = 0;
    /// Time since the store confirmed these rows; not zero if another node passed them on.
    std::chrono::milliseconds age{0};
    /// Version of the evidence of the node that passed them on; 0 if there is none.
    std::uint64_t evidenceVersion = 0;
};

/// A write of one row on condition that the row still has the expected version.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::string data;
    /// 0: the row must not exist. Not set: no condition.
    std::optional<RowVersion> expectedVersion;
};

/// Outcome of a write.
enum class WriteOutcome {
    Done,
    ConditionFailed,
    NotDone, ///< The store answered with an error status and wrote nothing.
    Unknown, ///< No answer: the write may have been done or may still be done.
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
    RowVersion version;
};

} // namespace ibisfork::gateway
