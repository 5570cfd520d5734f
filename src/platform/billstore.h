#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "platform/tableclient.h"

namespace ibisfork::platform {

/// Consecutive records of one log, the first of them numbered @p first.
struct BillBatch
{
    std::string incarnation;
    std::uint64_t first = 0;
    std::vector<std::string> records;
};

/// Appended: the batch is in the table, once. Closed: another has closed the log; records from closedAt on are not
/// in it. Unavailable: not known; the same batch may be appended again.
enum class AppendState { Appended, Closed, Unavailable };

struct AppendResult
{
    AppendState state = AppendState::Unavailable;
    std::uint64_t closedAt = 0;
};

/// Logs of bills as they are laid out in the platform's table: rows bills/INCARNATION/FIRST, and
/// bills-closed/INCARNATION once a log is closed.
class BillStore
{
public:
    explicit BillStore(TableClient &table);

    /// Inserts @p batch if its row is absent and its log is open.
    void append(const BillBatch &batch, std::function<void(AppendResult)> done);
    /// Closes the log of @p copies, adding those of them that it lacks. False: not known; may be repeated.
    void close(const BillBatch &copies, std::function<void(bool closed)> done);
    /// All batches of all logs; nothing if the table did not answer.
    void readAll(std::function<void(std::optional<std::vector<BillBatch>>)> done);

private:
    void readBack(const BillBatch &batch, std::function<void(AppendResult)> done);
    void closeAfter(const BillBatch &copies, std::uint64_t next, std::function<void(bool closed)> done);

    TableClient &m_table;
};

} // namespace ibisfork::platform
