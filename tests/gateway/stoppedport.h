#pragma once

#include <event2/util.h>

#include <vector>

#include "net/address.h"
#include "net/libevent.h"

namespace ibisfork::gateway::test {

/// An engine's port that resets its first connection once a request has come, and then leaves connections unanswered
/// until goOn().
class StoppedPort
{
public:
    explicit StoppedPort(event_base *base);
    ~StoppedPort();
    StoppedPort(const StoppedPort &) = delete;
    StoppedPort &operator=(const StoppedPort &) = delete;

    net::Address address() const { return m_address; }
    /// The first connection has been reset.
    bool stopped() const { return m_stopped; }
    void goOn();

private:
    static void onAcceptable(evutil_socket_t, short, void *self);
    static void onReadable(evutil_socket_t socket, short, void *self);

    event_base *m_base;
    evutil_socket_t m_listener;
    net::Address m_address;
    net::EventPtr m_acceptable;
    net::EventPtr m_readable;
    std::vector<evutil_socket_t> m_sockets;
    bool m_stopped = false;
};

} // namespace ibisfork::gateway::test
