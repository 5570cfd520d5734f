#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "http/upstreamconnection.h"

namespace ibisfork::gateway {

/// Pool of idle connections to engines.
class ConnectionPool
{
public:
    ConnectionPool(event_base *base, base::MetricsRegistry &metrics);

    /// Returns a connection to @p engineId, idle or new. @p avoidStale: reuse only connections idle for so short a time
    /// that the engine is unlikely to be closing them; for requests that can't be repeated if they are lost that way.
    std::unique_ptr<http::UpstreamConnection> acquire(const std::string &engineId,
                                                      const net::Address &address,
                                                      bool avoidStale,
                                                      base::TimePoint now);
    /// Returns @p connection to the pool if it is reusable and the engine has fewer than @p maxIdle idle connections;
    /// otherwise closes it.
    void release(const std::string &engineId,
                 std::unique_ptr<http::UpstreamConnection> connection,
                 std::size_t maxIdle,
                 base::TimePoint now);
    /// Closes all idle connections to @p engineId.
    void drop(const std::string &engineId);
    /// Closes the idle connections that their engine may be about to close.
    void dropStale(base::TimePoint now);

private:
    struct Idle
    {
        std::unique_ptr<http::UpstreamConnection> connection;
        base::TimePoint since;
    };

    static bool isUsable(const Idle &idle, bool avoidStale, base::TimePoint now);

    event_base *m_base;
    base::Counter &m_opened;
    std::map<std::string, std::vector<Idle>> m_idle;
};

} // namespace ibisfork::gateway
