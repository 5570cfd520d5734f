#pragma once

#include <optional>

#include <ibisfork/base/clock.h>

namespace ibisfork::http {

class UpstreamConnection;

/// Puts off the end of a wait for an answer while the connection holds something that has not been read. A process that
/// stood still finds its timers due together with the bytes that have arrived meanwhile.
class LateBytes
{
public:
    /// How soon to ask again after mayAwait() was true.
    static constexpr std::chrono::milliseconds checkInterval{1};

    /// True if @p connection has something to read, for a short time from the first call on.
    bool mayAwait(const UpstreamConnection &connection, base::TimePoint now);
    /// A new wait begins.
    void reset() { m_since.reset(); }

private:
    std::optional<base::TimePoint> m_since;
};

} // namespace ibisfork::http
