#include "gateway/infoport.h"

#include "net/deletelater.h"

namespace ibisfork::gateway {

InfoPort::InfoPort(event_base *base,
                   const net::Address &address,
                   Handler handler,
                   InfoPortLimits limits,
                   const ConnectionShare &share)
    : m_base(base)
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_room(base, address, share, [this](evutil_socket_t socket) { return accept(socket); })
{ }

std::unique_ptr<http::CallerConnection> InfoPort::accept(evutil_socket_t socket)
{
    http::CallerConnection::Handlers handlers;
    handlers.onRequest = [this](http::CallerConnection &connection, const http::Request &request) {
        handleRequest(connection, request);
    };
    handlers.onCallerLeft = [](http::CallerConnection &) {
    };
    handlers.onClosed = [this](http::CallerConnection &connection) {
        removeConnection(connection);
    };
    const auto bounds = [this] {
        http::CallerBounds all;
        all.maxBodyBytes = m_limits.maxBodyBytes;
        all.keepsBodies = m_limits.keepsBodies;
        return all;
    };
    auto connection
        = std::make_unique<http::CallerConnection>(m_base, socket, bounds, std::move(handlers), m_limits.budget);
    m_serials[connection.get()] = ++m_serial;
    return connection;
}

void InfoPort::handleRequest(http::CallerConnection &connection, const http::Request &request)
{
    m_room.recordUsed(connection);
    const auto serial = m_serials.at(&connection);
    m_handler(request, [this, key = &connection, serial](const InfoAnswer &answer) { reply(key, serial, answer); });
}

void InfoPort::reply(http::CallerConnection *connection, std::uint64_t serial, const InfoAnswer &answer)
{
    const auto found = m_serials.find(connection);
    if (found == m_serials.end() || found->second != serial || !connection->answering()) {
        // The client has disconnected.
        return;
    }
    http::HeaderList headers;
    headers.add("Content-Type", "text/plain");
    connection->sendAnswer(answer.status, headers, answer.body, false);
    m_room.recordUsed(*connection);
}

void InfoPort::removeConnection(http::CallerConnection &connection)
{
    auto owned = m_room.take(connection);
    if (owned) {
        m_serials.erase(&connection);
        net::deleteLater(m_base, std::move(owned));
    }
}

} // namespace ibisfork::gateway
