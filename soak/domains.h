#pragma once

#include <string>

#include <fmt/format.h>

namespace ibisfork::soak {

/// The failure domain of the node or engine with this number.
inline std::string domainOf(std::size_t index)
{
    constexpr std::size_t domains = 3;
    return fmt::format("d{}", index % domains);
}

} // namespace ibisfork::soak
