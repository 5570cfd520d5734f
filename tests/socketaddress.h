#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

#include "net/address.h"

namespace ibisfork::test {

/// @p address as the functions of the socket library take it.
inline sockaddr_in socketAddress(const net::Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/// The loopback address to which @p socket is bound.
inline net::Address boundAddress(int socket)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &bound.sin_addr, ip.data(), ip.size());
    return {ip.data(), ntohs(bound.sin_port)};
}

} // namespace ibisfork::test
