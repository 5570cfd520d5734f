#include "gateway/connectionpool.h"

#include <algorithm>

#include "net/deletelater.h"

namespace ibisfork::gateway {

namespace {

/// A connection idle for longer than this is not reused, unless the engine announces its own idle timeout.
constexpr std::chrono::milliseconds defaultIdleTimeout{3000};
/// A connection is dropped this long before the engine's own idle timeout, so that the two don't race.
constexpr std::chrono::milliseconds idleMargin{1000};
/// Requests that avoid stale connections only reuse connections on which an answer has ended within this time: the
/// path may have been lost since.
constexpr std::chrono::milliseconds provenTime{100};
constexpr std::size_t maxIdlePerEngine = 48;

base::Duration maxIdleTime(const http::UpstreamConnection &connection)
{
    const auto allowed = connection.idleAllowed();
    return allowed ? std::max<base::Duration>(*allowed - idleMargin, base::Duration::zero()) : defaultIdleTimeout;
}

} // namespace

ConnectionPool::ConnectionPool(event_base *base, base::MetricsRegistry &metrics)
    : m_base(base)
    , m_opened(metrics.counter("ibisfork_upstream_connections_opened_total"))
{ }

bool ConnectionPool::isUsable(const Idle &idle, bool avoidStale, base::TimePoint now)
{
    const auto usual = maxIdleTime(*idle.connection);
    const auto longest = avoidStale ? std::min<base::Duration>(usual, provenTime) : usual;
    return idle.connection->reusable() && now - idle.since < longest;
}

std::unique_ptr<http::UpstreamConnection> ConnectionPool::acquire(const std::string &engineId,
                                                                  const net::Address &address,
                                                                  bool avoidStale,
                                                                  base::TimePoint now)
{
    auto &list = m_idle[engineId];
    while (!list.empty()) {
        auto idle = std::move(list.back());
        list.pop_back();
        // The engine may have closed it and the loop not have come to that yet.
        if (isUsable(idle, avoidStale, now) && !idle.connection->hasUnread()) {
            return std::move(idle.connection);
        }
    }
    m_opened.add();
    auto connection = std::make_unique<http::UpstreamConnection>(m_base, address);
    if (connection->lacksSocket()) {
        // The loop closes them, so that the next requests find sockets.
        m_idle.clear();
    }
    return connection;
}

void ConnectionPool::release(const std::string &engineId,
                             std::unique_ptr<http::UpstreamConnection> connection,
                             std::size_t maxIdle,
                             base::TimePoint now)
{
    auto &list = m_idle[engineId];
    if (connection->reusable() && list.size() < std::min(maxIdle, maxIdlePerEngine)) {
        list.push_back({std::move(connection), now});
    } else {
        net::deleteLater(m_base, std::move(connection));
    }
}

void ConnectionPool::drop(const std::string &engineId)
{
    m_idle.erase(engineId);
}

void ConnectionPool::dropStale(base::TimePoint now)
{
    for (auto &[id, list] : m_idle) {
        std::erase_if(list, [&](const Idle &idle) { return !isUsable(idle, false, now); });
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

} // namespace ibisfork::gateway
