#pragma once

#include <chrono>

namespace ibisfork::gateway {

/// A sound engine may fall silent for a second or so and go on; one that is silent for longer does not merely pause.
inline constexpr std::chrono::milliseconds longestPause{2000};
/// A new connection comes about within this time, also at most engines that pause, since their kernels accept it. It
/// takes some round trips; an opening packet that is lost is sent again only after a second.
inline constexpr std::chrono::milliseconds connectTime{150};

} // namespace ibisfork::gateway
