#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "gateway/rows.h"
#include "http/callclient.h"

namespace ibisfork::gateway {

/// Why a read of the store came to nothing.
enum class StoreFailure {
    HistoryGone, ///< The feed can't go on from that version; all rows have to be read.
    Refused, ///< The store answered that it did nothing.
    NoAnswer, ///< The connection failed, or the answer did not come in time.
    Unreadable, ///< The answer makes no sense.
};

using ReadResult = std::variant<RowBatch, StoreFailure>;

/// The one client of the platform's store.
class StoreClient
{
public:
    StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// All rows of @p table from key @p from on, as many as one answer holds.
    void read(const std::string &table, const std::string &from, const std::function<void(const ReadResult &)> &done);
    /// What changed in @p table after @p version; the store answers within @p wait.
    void feed(const std::string &table,
              std::uint64_t version,
              std::chrono::milliseconds wait,
              const std::function<void(const ReadResult &)> &done);
    /// One transaction of @p writes.
    void write(const std::vector<ConditionalWrite> &writes, const std::function<void(const WriteResult &)> &done);

private:
    void send(std::string bytes, base::Duration timeout, const http::CallClient::Answered &answered);

    http::CallClient m_client;
    net::Address m_address;
    base::Counter &m_calls;
    base::Counter &m_failures;
};

} // namespace ibisfork::gateway
