#pragma once

#include <chrono>

namespace ibisfork::gateway {

/// A run that is given less than this can't end well.
inline constexpr std::chrono::milliseconds leastRun{40};
/// Times to come back: an engine is full for a short time, a missing one longer.
inline constexpr std::chrono::milliseconds retryAfterFull{250};
inline constexpr std::chrono::milliseconds retryAfterNoEngine{1000};

} // namespace ibisfork::gateway
