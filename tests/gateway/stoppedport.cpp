#include "stoppedport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "hangingport.h"
#include "socketaddress.h"

namespace ibisfork::gateway::test {

StoppedPort::StoppedPort(event_base *base)
    : m_base(base)
    , m_listener(listenWithShortestQueue({"127.0.0.1", 0}))
{
    m_address = ibisfork::test::boundAddress(m_listener);
    m_acceptable.reset(event_new(base, m_listener, EV_READ, &onAcceptable, this));
    event_add(m_acceptable.get(), nullptr);
}

StoppedPort::~StoppedPort()
{
    m_acceptable.reset();
    m_readable.reset();
    for (const auto socket : m_sockets) {
        close(socket);
    }
    close(m_listener);
}

void StoppedPort::onAcceptable(evutil_socket_t, short, void *self)
{
    auto &port = *static_cast<StoppedPort *>(self);
    const auto socket = accept4(port.m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    port.m_readable.reset(event_new(port.m_base, socket, EV_READ, &onReadable, self));
    event_add(port.m_readable.get(), nullptr);
}

void StoppedPort::onReadable(evutil_socket_t socket, short, void *self)
{
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    auto &port = *static_cast<StoppedPort *>(self);
    port.m_sockets = fillQueue(port.m_address);
    close(socket);
    port.m_stopped = true;
}

void StoppedPort::goOn()
{
    // A longer queue takes what comes from now on.
    constexpr int queue = 16;
    listen(m_listener, queue);
}

} // namespace ibisfork::gateway::test
