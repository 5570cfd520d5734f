#pragma once

#include <cstddef>
#include <exception>

namespace ibisfork::net {

/// Logs an exception that would have ended the process, from the callback @p where.
void recordEscaped(const char *where, const char *reason);

/// Number of such exceptions in this process.
std::size_t escapedExceptions();

/// Runs @p callback from the event loop. An exception is logged and ends the callback only: whatever one client or one
/// timer brings about, the others are served. False if there was one.
template<typename Callback>
bool runGuarded(const char *where, const Callback &callback)
{
    try {
        callback();
        return true;
    } catch (const std::exception &error) {
        recordEscaped(where, error.what());
        return false;
    }
}

} // namespace ibisfork::net
