#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/connectionshares.h"
#include "gateway/listeningport.h"
#include "http/callerconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Listens on an address and holds the open connections of its clients, no more than its share. Beyond that the
/// connection that has been idle longest is closed for a new one; while none is idle, some more are accepted to be told
/// so, and the others wait until one ends.
class ConnectionRoom
{
public:
    /// Makes the connection of an accepted socket.
    using Accept = std::function<std::unique_ptr<http::CallerConnection>(evutil_socket_t)>;

    ConnectionRoom(event_base *base, const net::Address &address, const ConnectionShare &share, Accept accept);

    net::Address address() const { return m_port.address(); }
    /// True once connections are accepted.
    bool isOpen() const { return m_port.isOpen(); }
    std::size_t size() const { return m_connections.size(); }
    /// The open connections; each may close, but is not destroyed, while it is called.
    std::vector<http::CallerConnection *> all() const;

    /// Records that a request was taken from a connection, or its answer given.
    void recordUsed(http::CallerConnection &connection);
    /// True if a request on @p connection is to be refused, since the connections before it fill the share.
    bool isBeyondShare(const http::CallerConnection &connection) const;
    /// Gives the connection away when it has closed; nothing if that was done before.
    std::unique_ptr<http::CallerConnection> take(http::CallerConnection &connection);

private:
    struct Entry
    {
        std::unique_ptr<http::CallerConnection> connection;
        base::TimePoint usedAt;
        bool isSurplus = false;
    };

    void accept(evutil_socket_t socket);
    bool isFull() const { return m_connections.size() >= m_share.served; }
    bool accepts() const { return m_share.replacesOldest || m_connections.size() < m_share.served + m_share.refused; }
    /// True if a client may be waiting for another one's connection.
    bool needsRoom() const { return m_connections.size() > m_share.served || !accepts(); }
    /// False if none has been idle for a while.
    bool closeLongestIdle();
    /// Closes the connection that has gone unused longest, unless its request is being answered.
    void closeOldest();
    /// Refuses requests that have been coming for long and are not whole, the longest first. Their connections count as
    /// idle once their clients have the refusal.
    void refuseSlowest();
    void makeRoom();
    void update();

    ConnectionShare m_share;
    Accept m_accept;
    std::map<const http::CallerConnection *, Entry> m_connections;
    ListeningPort m_port;
    net::Timer m_roomTimer;
};

} // namespace ibisfork::gateway
