#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpcall.h"

namespace ibisfork::platform {

/// A row that must stand at a version for a transaction to take effect; version 0: it must not exist.
struct RowCondition
{
    std::string key;
    std::uint64_t version = 0;
};

/// A row to write, or to remove where there is no value.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
};

/// Takes effect whole, or not at all.
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/// Unknown: it may or may not have taken effect. NotSent: it has not and will not.
enum class CommitOutcome { Committed, Refused, Unknown, NotSent };

/// Rows to read at one instant: single keys, and the rows below a prefix whose keys come after another.
struct ReadQuery
{
    std::vector<std::string> keys;
    std::string prefix;
    std::string after;
};

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
};

using StoredRows = std::map<std::string, StoredRow>;

/// The platform's transactional table, over HTTP. Lives on one event loop.
class TableClient
{
public:
    TableClient(event_base *base, net::Address address, base::Duration timeout);

    void commit(const Transaction &transaction, std::function<void(CommitOutcome)> done);
    /// Gives nothing if the table did not answer in time.
    void read(const ReadQuery &query, std::function<void(std::optional<StoredRows>)> done);

private:
    using Answer = std::variant<net::HttpResponse, net::HttpFailure>;
    void post(const std::string &path, std::string body, std::function<void(const Answer &)> done);

    event_base *m_base;
    net::Address m_address;
    base::Duration m_timeout;
    std::uint64_t m_nextCall = 0;
    std::map<std::uint64_t, std::unique_ptr<net::HttpCall>> m_calls;
};

} // namespace ibisfork::platform
