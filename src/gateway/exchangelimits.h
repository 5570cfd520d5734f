#pragma once

#include <chrono>

namespace ibisfork::gateway {

/// No attempt is started with less time than this left; it could not complete.
inline constexpr std::chrono::milliseconds minAttemptTime{40};
/// A request that met this many unreachable engines is handed to another node, whatever other requests have met.
inline constexpr unsigned unreachableEnginesToForward = 2;
/// Retry-After values: an engine is full only for a short time, a missing one takes longer to return.
inline constexpr std::chrono::milliseconds retryAfterFull{250};
inline constexpr std::chrono::milliseconds retryAfterNoEngine{1000};
/// How often an exchange that has stopped reading from its engine looks for room.
inline constexpr std::chrono::milliseconds pausedCheckInterval{250};
/// A request that crashes engines does so within this time of its first event, if it delivers any.
inline constexpr std::chrono::milliseconds soundRunTime{200};

} // namespace ibisfork::gateway
