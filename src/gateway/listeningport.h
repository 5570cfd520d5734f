#pragma once

#include <functional>
#include <memory>

#include <event2/listener.h>

#include "net/address.h"
#include "net/timer.h"

namespace ibisfork::gateway {

struct ListenerDeleter
{
    void operator()(evconnlistener *item) const { evconnlistener_free(item); }
};

using ListenerPtr = std::unique_ptr<evconnlistener, ListenerDeleter>;

/// Accepts TCP connections on an address. An address that can't be bound yet is tried again until it can.
class ListeningPort
{
public:
    /// Called with each accepted socket, of which the callee takes ownership.
    using AcceptCallback = std::function<void(evutil_socket_t)>;

    /// @p onNoDescriptor: called when a connection can't be accepted, so that others may be closed.
    ListeningPort(event_base *base,
                  const net::Address &address,
                  AcceptCallback callback,
                  std::function<void()> onNoDescriptor = {});
    ListeningPort(const ListeningPort &) = delete;
    ListeningPort &operator=(const ListeningPort &) = delete;

    /// True once the address is bound.
    bool isOpen() const { return m_listener != nullptr; }
    /// The bound address, with the actual port if port 0 was requested; before that the requested one.
    net::Address address() const;
    /// Accepts no connections while @p paused; those that come wait.
    void pause(bool paused);
    bool isPaused() const { return m_paused; }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self);
    static void onAcceptFailed(evconnlistener *, void *self);
    void open();
    void bind();
    void rest();
    void update();

    event_base *m_base;
    net::Address m_requested;
    AcceptCallback m_acceptCallback;
    std::function<void()> m_onNoDescriptor;
    ListenerPtr m_listener;
    net::Timer m_retryTimer;
    net::Timer m_restTimer;
    bool m_hasFailed = false;
    bool m_paused = false;
    /// Accepting has just failed.
    bool m_rests = false;
};

} // namespace ibisfork::gateway
