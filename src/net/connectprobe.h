#pragma once

#include <functional>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/libevent.h"

namespace ibisfork::net {

/// Makes a connection, sends nothing, and tells how it went.
class ConnectProbe
{
public:
    /// @p done is called once from the loop with 0, or the error number of the connect; ETIMEDOUT after @p within.
    ConnectProbe(event_base *base, const Address &address, base::Duration within, std::function<void(int)> done);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

private:
    static void onEvent(evutil_socket_t, short events, void *self);

    std::function<void(int)> m_done;
    evutil_socket_t m_socket;
    EventPtr m_event;
};

} // namespace ibisfork::net
