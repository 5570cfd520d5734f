#pragma once

#include <unistd.h>

#include <deque>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "socketaddress.h"

namespace ibisfork::process {

/// A loopback address that no other process of the tests uses, so that none of them can take its ports.
inline std::string ownLoopback()
{
    constexpr unsigned secondByteOfTests = 128;
    const auto id = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", secondByteOfTests | (id >> 16U & 0x3fU), id >> 8U & 0xffU, id & 0xffU);
}

/// A port of this process's loopback address that is in use as long as the object exists.
class HeldPort
{
public:
    HeldPort()
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto any = test::socketAddress({ownLoopback(), 0});
        if (bind(m_socket, reinterpret_cast<const sockaddr *>(&any), sizeof any) != 0 || listen(m_socket, 1) != 0) {
            throw std::runtime_error("no port can be had");
        }
        m_address = test::boundAddress(m_socket);
    }
    ~HeldPort() { close(m_socket); }
    HeldPort(const HeldPort &) = delete;
    HeldPort &operator=(const HeldPort &) = delete;

    const net::Address &address() const { return m_address; }

private:
    int m_socket;
    net::Address m_address;
};

/// @p count addresses at which nothing listens. All are held until the last one is known, so that none comes twice.
inline std::vector<std::string> freeAddresses(std::size_t count)
{
    const std::deque<HeldPort> held(count);
    std::vector<std::string> addresses;
    for (const auto &port : held) {
        addresses.push_back(port.address().text());
    }
    return addresses;
}

} // namespace ibisfork::process
