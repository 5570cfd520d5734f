#pragma once

#include <functional>
#include <map>
#include <memory>

#include <event2/listener.h>

#include "gateway/exchange.h"
#include "http/callerconnection.h"
#include "net/address.h"

namespace ibisfork::gateway {

struct ListenerDeleter
{
    void operator()(evconnlistener *item) const { evconnlistener_free(item); }
};

using ListenerPtr = std::unique_ptr<evconnlistener, ListenerDeleter>;

/// A port on which connections are taken. Throws net::NetError.
class ListeningPort
{
public:
    using Accepted = std::function<void(evutil_socket_t)>;

    ListeningPort(event_base *base, const net::Address &address, Accepted accepted);
    ListeningPort(const ListeningPort &) = delete;
    ListeningPort &operator=(const ListeningPort &) = delete;

    /// The address that is listened on; its port is known also if port 0 was asked for.
    net::Address address() const;

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self);

    Accepted m_accepted;
    std::string m_ip;
    ListenerPtr m_listener;
};

/// The port of callers, with their connections and the exchanges on them.
class CallerPort
{
public:
    CallerPort(Context &context, const net::Address &address);
    ~CallerPort();

    net::Address address() const { return m_port.address(); }
    std::size_t exchanges() const { return m_exchanges.size(); }
    std::size_t connections() const { return m_connections.size(); }
    /// Closes the connections on which nothing is under way.
    void closeIdle();
    /// Ends all exchanges.
    void cutOff();

private:
    void accept(evutil_socket_t socket);
    void begin(http::CallerConnection &connection, http::Request request);
    void drop(http::CallerConnection &connection);
    void end(http::CallerConnection &connection);

    Context &m_context;
    std::map<http::CallerConnection *, std::unique_ptr<http::CallerConnection>> m_connections;
    std::map<http::CallerConnection *, std::unique_ptr<Exchange>> m_exchanges;
    ListeningPort m_port;
};

} // namespace ibisfork::gateway
