#pragma once

#include <chrono>

namespace ibisfork::base {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// Time since boot, including time that the machine spent suspended.
TimePoint monotonicNow();

/// Whole milliseconds in @p duration, rounded towards zero.
std::chrono::milliseconds::rep toMilliseconds(Duration duration);

/// Seconds in @p duration.
double toSeconds(Duration duration);

} // namespace ibisfork::base
