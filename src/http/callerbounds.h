#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

namespace ibisfork::http {

/// Bounds on what a caller may send, and how long it may take or stay idle.
struct CallerBounds
{
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    /// False where no request needs a body: bodies are read, dropped and not handed on.
    bool keepsBodies = true;
    std::chrono::milliseconds headTimeout{3000};
    std::chrono::milliseconds bodyTimeout{15000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// Gives the bounds in force; they may change while a connection is open.
using CallerBoundsSource = std::function<CallerBounds()>;

/// The wider of each two bounds.
CallerBounds widest(const CallerBounds &left, const CallerBounds &right);

} // namespace ibisfork::http
