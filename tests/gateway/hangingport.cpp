#include "hangingport.h"

#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "socketaddress.h"

namespace ibisfork::gateway::test {

namespace {

evutil_socket_t bindTo(const net::Address &address)
{
    const auto bound = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = ibisfork::test::socketAddress(address);
    if (bind(bound, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot bind");
    }
    return bound;
}

} // namespace

evutil_socket_t listenWithShortestQueue(const net::Address &address)
{
    const auto listener = bindTo(address);
    // The shortest queue: it is full with one connection.
    if (listen(listener, 0) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot listen");
    }
    return listener;
}

RefusingPort::RefusingPort(const net::Address &address)
    : m_socket(bindTo(address))
{ }

RefusingPort::~RefusingPort()
{
    close(m_socket);
}

std::vector<evutil_socket_t> fillQueue(const net::Address &address)
{
    constexpr int connections = 3;
    const auto target = ibisfork::test::socketAddress(address);
    std::vector<evutil_socket_t> sockets;
    for (int i = 0; i < connections; ++i) {
        sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const auto result = connect(sockets.back(), reinterpret_cast<const sockaddr *>(&target), sizeof target);
        if (result != 0 && errno != EINPROGRESS) {
            throw std::system_error(errno, std::generic_category(), "cannot connect");
        }
    }
    return sockets;
}

HangingPort::HangingPort(const net::Address &address)
    : m_listener(listenWithShortestQueue(address))
    , m_queued(fillQueue(address))
{ }

HangingPort::~HangingPort()
{
    for (const auto socket : m_queued) {
        close(socket);
    }
    close(m_listener);
}

} // namespace ibisfork::gateway::test
