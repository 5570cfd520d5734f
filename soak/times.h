#pragma once

#include <chrono>

namespace ibisfork::soak {

/// Time that callers give a request.
inline constexpr std::chrono::milliseconds patience{5000};
/// Engines that a stream may be sent to, one after the other.
inline constexpr unsigned streamAttempts = 3;
/// Time between SIGTERM of a node and its end, in the nodes' settings.
inline constexpr std::chrono::seconds shutdownGrace{8};
/// Time in which a change that operators make must be in force everywhere.
inline constexpr std::chrono::milliseconds changeWithin{2000};
/// A node must have been left alone for so long before it is held to a time.
inline constexpr std::chrono::milliseconds contact{3000};
/// The soak's own loop may be late by so much on a busy machine.
inline constexpr std::chrono::milliseconds slack{500};

} // namespace ibisfork::soak
