#include "gateway/listeningport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "gateway/eventlog.h"
#include "net/guard.h"

namespace ibisfork::gateway {

namespace {

constexpr int listenBacklog = 512;
/// Whoever holds the port is mostly a process that is about to end.
constexpr std::chrono::milliseconds bindRetryInterval{100};
/// A connection that can't be accepted, since the process has no descriptor for it, stays in the queue, where it would
/// keep the loop busy.
constexpr std::chrono::milliseconds acceptRest{50};

} // namespace

ListeningPort::ListeningPort(event_base *base,
                             const net::Address &address,
                             AcceptCallback callback,
                             std::function<void()> onNoDescriptor)
    : m_base(base)
    , m_requested(address)
    , m_acceptCallback(std::move(callback))
    , m_onNoDescriptor(std::move(onNoDescriptor))
    , m_retryTimer(base, [this] { open(); })
    , m_restTimer(base, [this] {
        m_rests = false;
        update();
    })
{
    open();
}

void ListeningPort::open()
{
    bind();
    if (m_listener) {
        evconnlistener_set_error_cb(m_listener.get(), &ListeningPort::onAcceptFailed);
        update();
        if (m_hasFailed) {
            EventLog::state("port_open").field("address", address().text());
        }
        return;
    }
    const auto reason = std::generic_category().message(errno);
    if (!std::exchange(m_hasFailed, true)) {
        EventLog::state("port_unavailable").field("address", m_requested.text()).field("reason", reason);
    }
    m_retryTimer.startOnce(bindRetryInterval);
}

void ListeningPort::bind()
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(m_requested.port);
    inet_pton(AF_INET, m_requested.ip.c_str(), &target.sin_addr);
    m_listener.reset(evconnlistener_new_bind(m_base,
                                             &ListeningPort::onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                             listenBacklog,
                                             reinterpret_cast<const sockaddr *>(&target),
                                             sizeof target));
}

net::Address ListeningPort::address() const
{
    if (!m_listener) {
        return m_requested;
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr *>(&bound), &size);
    return {m_requested.ip, ntohs(bound.sin_port)};
}

void ListeningPort::onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto &accepted = static_cast<ListeningPort *>(self)->m_acceptCallback;
    net::runGuarded("accept", [&] { accepted(socket); });
}

void ListeningPort::onAcceptFailed(evconnlistener *, void *self)
{
    const auto reason = std::generic_category().message(errno);
    auto &port = *static_cast<ListeningPort *>(self);
    EventLog::failure("accept_failed").field("address", port.address().text()).field("reason", reason);
    port.rest();
}

void ListeningPort::rest()
{
    m_rests = true;
    update();
    m_restTimer.startOnce(acceptRest);
    if (m_onNoDescriptor) {
        m_onNoDescriptor();
    }
}

void ListeningPort::pause(bool paused)
{
    m_paused = paused;
    update();
}

void ListeningPort::update()
{
    if (!m_listener) {
        return;
    }
    if (m_paused || m_rests) {
        evconnlistener_disable(m_listener.get());
    } else {
        evconnlistener_enable(m_listener.get());
    }
}

} // namespace ibisfork::gateway
