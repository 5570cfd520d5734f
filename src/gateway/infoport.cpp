#include "gateway/infoport.h"

#include "net/deletelater.h"

namespace ibisfork::gateway {

InfoPort::InfoPort(event_base *base, const net::Address &address, Answer answer)
    : m_base(base)
    , m_answer(std::move(answer))
    , m_port(base, address, [this](evutil_socket_t socket) { accept(socket); })
{ }

void InfoPort::accept(evutil_socket_t socket)
{
    http::CallerConnection::Handlers handlers;
    handlers.onRequest = [this](http::CallerConnection &connection, const http::Request &request) {
        const auto answer = m_answer(request.head.target);
        http::HeaderList headers;
        headers.add("Content-Type", "text/plain");
        connection.sendAnswer(answer.status, headers, answer.body, false);
    };
    handlers.onCallerLeft = [](http::CallerConnection &) {
    };
    handlers.onClosed = [this](http::CallerConnection &connection) {
        const auto found = m_connections.find(&connection);
        if (found != m_connections.end()) {
            net::deleteLater(m_base, std::move(found->second));
            m_connections.erase(found);
        }
    };
    auto connection
        = std::make_unique<http::CallerConnection>(m_base, socket, http::CallerBounds{}, std::move(handlers));
    m_connections.emplace(connection.get(), std::move(connection));
}

} // namespace ibisfork::gateway
