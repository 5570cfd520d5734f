#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "gateway/rows.h"
#include "gateway/storecallcause.h"
#include "http/callclient.h"

namespace ibisfork::gateway {

/// Reason for a failed read.
enum class StoreFailure {
    HistoryGone, ///< The feed no longer covers the requested version; a full read is needed.
    Refused, ///< The store answered with an error status.
    NoAnswer, ///< Connection failure or timeout, or no fresh answer from another node.
    Unreadable, ///< The answer cannot be decoded.
};

using ReadResult = std::variant<RowBatch, StoreFailure>;

/// HTTP client of the platform's store.
class StoreClient
{
public:
    StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Reads one page of @p table, starting at key @p from; empty: the first page.
    void read(const std::string &table, const std::string &from, const std::function<void(const ReadResult &)> &done);
    /// Reads the changes of @p table after @p version. If there are none the store holds the query for up to @p wait.
    void feed(const std::string &table,
              RowVersion version,
              std::chrono::milliseconds wait,
              const std::function<void(const ReadResult &)> &done);
    /// Commits @p writes in one transaction. Nothing is written if a condition names a version of an earlier era.
    void write(StoreCallCause cause,
               const std::vector<ConditionalWrite> &writes,
               const std::function<void(const WriteResult &)> &done);

    /// How many times the store has come back from an older copy, as far as its answers to this node say.
    std::uint32_t era() const { return m_era; }

private:
    ReadResult decodeRead(const http::CallAnswer &answer) const;
    void recordEra(const http::HeaderList &headers);
    void send(StoreCallCause cause,
              std::string bytes,
              base::Duration timeout,
              const http::CallClient::Answered &answered);

    http::CallClient m_client;
    net::Address m_address;
    std::map<StoreCallCause, base::Counter *> m_calls;
    base::Counter &m_failures;
    base::Gauge &m_eraGauge;
    std::uint32_t m_era = 0;
};

} // namespace ibisfork::gateway
