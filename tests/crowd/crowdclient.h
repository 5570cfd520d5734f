#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "net/address.h"

namespace ibisfork::crowd {

/// What a client that nobody controls sends: a beginning, and then the same text over and over.
struct ClientBehaviour
{
    std::string beginning;
    std::string repeated;
    /// Bytes of the repeated text in all.
    std::size_t repeatedBytes = 0;
    /// Bytes sent at a time.
    std::size_t stepBytes = 64UL * 1024;
    /// The client reads what it gets; otherwise nothing.
    bool reads = false;
};

/// A client on a socket of its own that sends until it is done or its connection ends, and then stays open.
class CrowdClient
{
public:
    CrowdClient(const net::Address &address, const ClientBehaviour &behaviour);
    ~CrowdClient();
    CrowdClient(const CrowdClient &) = delete;
    CrowdClient &operator=(const CrowdClient &) = delete;

    /// Sends the next piece as far as the other end takes it. False once there is nothing more to send.
    bool step();

private:
    std::string_view nextPiece() const;
    void readAll() const;

    const ClientBehaviour &m_behaviour;
    int m_socket;
    std::size_t m_sent = 0;
    bool m_ended = false;
};

} // namespace ibisfork::crowd
