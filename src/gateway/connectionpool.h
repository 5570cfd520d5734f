#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "http/upstreamconnection.h"

namespace ibisfork::gateway {

/// Idle connections to engines, kept for further requests.
class ConnectionPool
{
public:
    ConnectionPool(event_base *base, base::MetricsRegistry &metrics);

    /// A connection to @p engineId, kept or new. @p careful: only one that has been idle for so short a time that the
    /// engine will hardly be closing it, since a request lost that way can't be repeated.
    std::unique_ptr<http::UpstreamConnection> take(const std::string &engineId,
                                                   const net::Address &address,
                                                   bool careful,
                                                   base::TimePoint now);
    /// Keeps @p connection if it can be used again and fewer than @p mostIdle are kept for the engine.
    void give(const std::string &engineId,
              std::unique_ptr<http::UpstreamConnection> connection,
              std::size_t mostIdle,
              base::TimePoint now);
    /// Closes all connections to @p engineId.
    void drop(const std::string &engineId);
    /// Closes connections that the other end is about to close.
    void dropStale(base::TimePoint now);

private:
    struct Idle
    {
        std::unique_ptr<http::UpstreamConnection> connection;
        base::TimePoint since;
    };

    static bool fresh(const Idle &idle, bool careful, base::TimePoint now);

    event_base *m_base;
    base::Counter &m_opened;
    std::map<std::string, std::vector<Idle>> m_idle;
};

} // namespace ibisfork::gateway
