#pragma once

#include <event2/util.h>

#include <vector>

#include "net/address.h"

namespace ibisfork::gateway::test {

/// A port at which new connections don't come about and are not refused either: its queue is full.
class HangingPort
{
public:
    explicit HangingPort(const net::Address &address);
    ~HangingPort();
    HangingPort(const HangingPort &) = delete;
    HangingPort &operator=(const HangingPort &) = delete;

private:
    evutil_socket_t m_listener;
    std::vector<evutil_socket_t> m_queued;
};

/// A port that refuses connections, and that nobody else can get meanwhile.
class RefusingPort
{
public:
    explicit RefusingPort(const net::Address &address);
    ~RefusingPort();
    RefusingPort(const RefusingPort &) = delete;
    RefusingPort &operator=(const RefusingPort &) = delete;

private:
    evutil_socket_t m_socket;
};

/// A listening socket at @p address with the shortest queue. Throws std::system_error.
evutil_socket_t listenWithShortestQueue(const net::Address &address);
/// Opens connections that fill the shortest queue at @p address.
std::vector<evutil_socket_t> fillQueue(const net::Address &address);

} // namespace ibisfork::gateway::test
