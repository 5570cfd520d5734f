#pragma once

#include <functional>
#include <vector>

#include <ibisfork/base/clock.h>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Queues requests that arrive after the node has learned of a newer configuration revision and before it applies it.
class CatchUpQueue
{
public:
    using Handler = std::function<void(const net::HttpServerRequest &)>;

    /// Longest wait for a newer revision before requests are refused.
    static constexpr std::chrono::milliseconds catchUpTimeout{1000};
    /// Upper limit on the number of queued requests.
    static constexpr std::size_t maxQueued = 500;

    /// @p handle is called with each queued request once the node is confirmed or the wait has timed out.
    CatchUpQueue(event_base *base, Handler handle);

    /// Updates the state at @p now: whether the node's revision is confirmed, and if not, whether the node is behind a
    /// newer one. Starts the wait, or ends it and releases the requests.
    void update(bool confirmed, bool behind, base::TimePoint now);

    /// End of the current wait for a newer revision; the epoch if there is no wait.
    base::TimePoint waitDeadline() const { return m_waitDeadline; }

    /// Queues @p request. Returns false if there is no wait or the limit is reached.
    bool tryEnqueue(const net::HttpServerRequest &request, base::TimePoint now);

    /// Empties the queue and calls the handler for each request whose caller is still connected.
    void release();

private:
    Handler m_handle;
    std::vector<net::HttpServerRequest> m_queued;
    base::TimePoint m_waitDeadline{};
    net::Timer m_timer;
};

} // namespace ibisfork::serving
