#include "gateway/connectionroom.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gateway/eventlog.h"

namespace ibisfork::gateway {

namespace {

/// How often a full port looks for a connection that has become idle.
constexpr std::chrono::milliseconds roomInterval{50};
/// At a full port, a request that has been coming for longer than this makes room for others.
constexpr std::chrono::milliseconds slowRequestTime{1000};
/// One of this many connections may be asked to make room at a time.
constexpr std::size_t slowRequestsDivisor = 16;

} // namespace

ConnectionRoom::ConnectionRoom(event_base *base,
                               const net::Address &address,
                               const ConnectionShare &share,
                               Accept accept)
    : m_share(share)
    , m_accept(std::move(accept))
    , m_port(
          base,
          address,
          [this](evutil_socket_t socket) { this->accept(socket); },
          [this] { closeLongestIdle(); })
    , m_roomTimer(base, [this] { makeRoom(); })
{ }

std::vector<http::CallerConnection *> ConnectionRoom::all() const
{
    std::vector<http::CallerConnection *> all;
    for (const auto &item : m_connections) {
        all.push_back(item.second.connection.get());
    }
    return all;
}

void ConnectionRoom::accept(evutil_socket_t socket)
{
    if (isFull() && !closeLongestIdle() && m_share.replacesOldest) {
        closeOldest();
    }
    const bool isSurplus = isFull();
    auto connection = m_accept(socket);
    const auto *key = connection.get();
    m_connections[key] = {std::move(connection), base::monotonicNow(), isSurplus};
    update();
}

void ConnectionRoom::recordUsed(http::CallerConnection &connection)
{
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        found->second.usedAt = base::monotonicNow();
        found->second.isSurplus = false;
    }
}

bool ConnectionRoom::isBeyondShare(const http::CallerConnection &connection) const
{
    const auto found = m_connections.find(&connection);
    return found != m_connections.end() && found->second.isSurplus && m_connections.size() > m_share.served;
}

std::unique_ptr<http::CallerConnection> ConnectionRoom::take(http::CallerConnection &connection)
{
    auto node = m_connections.extract(&connection);
    if (node.empty()) {
        return nullptr;
    }
    update();
    return std::move(node.mapped().connection);
}

bool ConnectionRoom::closeLongestIdle()
{
    const Entry *longest = nullptr;
    for (const auto &item : m_connections) {
        const auto &entry = item.second;
        const bool isLonger = longest == nullptr || entry.usedAt < longest->usedAt;
        if (isLonger && entry.connection->mayCloseIdle(http::CloseCause::RoomNeeded)) {
            longest = &entry;
        }
    }
    const auto before = m_connections.size();
    if (longest != nullptr) {
        longest->connection->closeIfIdle(http::CloseCause::RoomNeeded);
    }
    return m_connections.size() < before;
}

void ConnectionRoom::closeOldest()
{
    const Entry *oldest = nullptr;
    for (const auto &item : m_connections) {
        const auto &entry = item.second;
        const bool isOlder = oldest == nullptr || entry.usedAt < oldest->usedAt;
        if (isOlder && !entry.connection->answering()) {
            oldest = &entry;
        }
    }
    if (oldest != nullptr) {
        EventLog::failure("slow_connection_closed").field("address", address().text()).field("open", size());
        oldest->connection->abort();
    }
}

void ConnectionRoom::refuseSlowest()
{
    const auto now = base::monotonicNow();
    std::vector<std::pair<base::Duration, http::CallerConnection *>> slow;
    for (const auto &item : m_connections) {
        const auto age = item.second.connection->unfinishedFor(now);
        if (age >= slowRequestTime) {
            slow.emplace_back(age, item.second.connection.get());
        }
    }
    const auto most = std::max<std::size_t>(1, m_share.served / slowRequestsDivisor);
    const auto count = std::min(most, slow.size());
    const auto end = slow.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(slow.begin(), end, slow.end(), std::greater<>());
    std::for_each(slow.begin(), end, [](const auto &item) { item.second->refuseUnfinished(); });
    if (count > 0) {
        EventLog::failure("slow_requests_refused")
            .field("address", address().text())
            .field("refused", count)
            .field("open", size());
    }
}

void ConnectionRoom::makeRoom()
{
    bool closed = true;
    while (needsRoom() && closed) {
        closed = closeLongestIdle();
    }
    if (needsRoom()) {
        refuseSlowest();
    }
    update();
}

void ConnectionRoom::update()
{
    if (accepts() == m_port.isPaused()) {
        m_port.pause(!accepts());
        EventLog::failure("port_full")
            .field("address", address().text())
            .field("full", !accepts())
            .field("open", size());
    }
    if (needsRoom()) {
        m_roomTimer.startOnce(roomInterval);
    } else {
        m_roomTimer.stop();
    }
}

} // namespace ibisfork::gateway
