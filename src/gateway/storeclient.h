#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "gateway/rows.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Why a read of the store came to nothing.
enum class StoreFailure {
    HistoryGone, ///< The feed can't go on from that version; all rows have to be read.
    Refused, ///< The store answered that it did nothing.
    NoAnswer, ///< The connection failed, or the answer did not come in time.
    Unreadable, ///< The answer makes no sense.
};

using ReadResult = std::variant<RowBatch, StoreFailure>;

/// The one client of the platform's store. A call that is not answered in time gives up its connection, since nothing
/// more comes on it.
class StoreClient
{
public:
    StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// All rows of @p table from key @p from on, as many as one answer holds.
    void read(const std::string &table, const std::string &from, std::function<void(const ReadResult &)> done);
    /// What changed in @p table after @p version; the store answers within @p wait.
    void feed(const std::string &table,
              std::uint64_t version,
              std::chrono::milliseconds wait,
              std::function<void(const ReadResult &)> done);
    /// One transaction of @p writes.
    void write(const std::vector<ConditionalWrite> &writes, std::function<void(const WriteResult &)> done);

private:
    class Call;
    using Answered = std::function<void(int status, const std::string &body)>;

    void send(std::string bytes, base::Duration timeout, Answered answered);
    void finished(Call *call);
    std::unique_ptr<http::UpstreamConnection> takeConnection();

    event_base *m_base;
    net::Address m_address;
    base::Counter &m_calls;
    base::Counter &m_failures;
    std::list<std::unique_ptr<Call>> m_callsInFlight;
    std::vector<std::unique_ptr<http::UpstreamConnection>> m_idle;
};

} // namespace ibisfork::gateway
