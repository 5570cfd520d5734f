#pragma once

#include <functional>
#include <vector>

#include <ibisfork/base/clock.h>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Keeps requests that come in the moment between hearing of a newer revision and acting on it.
class ConfirmationHold
{
public:
    using Handler = std::function<void(const net::HttpServerRequest &)>;

    /// Longest time for which a newer revision is waited for before requests are refused.
    static constexpr std::chrono::milliseconds catchUpWithin{1000};
    /// Requests that are kept at most.
    static constexpr std::size_t maxHeld = 500;

    /// @p handle takes each request that was kept; it is called again once the node is confirmed or the time is over.
    ConfirmationHold(event_base *base, Handler handle);

    /// Notes at @p now whether the node is confirmed, and if not, whether it is catching up with a newer revision.
    void update(bool confirmed, bool behind, base::TimePoint now);

    /// Until when a newer revision is waited for.
    base::TimePoint until() const { return m_until; }

    /// Keeps @p request; false if there is nothing to wait for or no room.
    bool keep(const net::HttpServerRequest &request, base::TimePoint now);

    /// Hands on all requests that are kept.
    void release();

private:
    Handler m_handle;
    std::vector<net::HttpServerRequest> m_held;
    base::TimePoint m_until{};
    net::Timer m_timer;
};

} // namespace ibisfork::serving
