#include "net/connectprobe.h"

#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/guard.h"

namespace ibisfork::net {

ConnectProbe::ConnectProbe(event_base *base,
                           const Address &address,
                           base::Duration within,
                           std::function<void(int)> done)
    : m_done(std::move(done))
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    // The outcome is read from the socket once it is writable, also where it is known at once.
    (void)connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(within).count();
    const timeval timeout{microseconds / 1000000, microseconds % 1000000};
    m_event.reset(event_new(base, m_socket, EV_WRITE, &ConnectProbe::onEvent, this));
    event_add(m_event.get(), &timeout);
}

ConnectProbe::~ConnectProbe()
{
    m_event.reset();
    close(m_socket);
}

void ConnectProbe::onEvent(evutil_socket_t socket, short events, void *self)
{
    int error = ETIMEDOUT;
    socklen_t length = sizeof(error);
    if ((events & EV_WRITE) != 0) {
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    }
    // The handler may destroy the probe.
    const auto done = static_cast<ConnectProbe *>(self)->m_done;
    runGuarded("probe", [&] { done(error); });
}

} // namespace ibisfork::net
