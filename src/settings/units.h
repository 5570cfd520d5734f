#pragma once

#include <cstddef>

namespace ibisfork::settings {

inline constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;

} // namespace ibisfork::settings
