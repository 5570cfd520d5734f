#pragma once

#include <cstdint>
#include <string>

namespace ibisfork::net {

/// An IP number and a port; names are not resolved.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
    /// Throws NetError if @p text is not of the form IP:PORT.
    static Address parse(const std::string &text);
};

} // namespace ibisfork::net
