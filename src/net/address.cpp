#include "net/address.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

#include "net/exceptions.h"

namespace ibisfork::net {

std::string Address::text() const
{
    return fmt::format("{}:{}", ip, port);
}

Address Address::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    Address address;
    in_addr parsed{};
    if (colon != std::string::npos) {
        address.ip = text.substr(0, colon);
        const char *first = text.data() + colon + 1;
        const char *last = text.data() + text.size();
        const auto result = std::from_chars(first, last, address.port);
        if (result.ec == std::errc() && result.ptr == last && inet_pton(AF_INET, address.ip.c_str(), &parsed) == 1) {
            return address;
        }
    }
    throw NetError(fmt::format(errormessage::badAddress, text));
}

} // namespace ibisfork::net
