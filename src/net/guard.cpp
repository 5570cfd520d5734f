#include "net/guard.h"

#include <atomic>

#include <ibisfork/base/log.h>

namespace ibisfork::net {

namespace {

std::atomic<std::size_t> &count()
{
    static std::atomic<std::size_t> escaped{0};
    return escaped;
}

} // namespace

void recordEscaped(const char *where, const char *reason)
{
    ++count();
    base::LogLine(base::LogLevel::Error, "exception_in_callback").field("where", where).field("reason", reason);
}

std::size_t escapedExceptions()
{
    return count();
}

} // namespace ibisfork::net
