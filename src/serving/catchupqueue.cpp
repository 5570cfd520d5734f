#include "serving/catchupqueue.h"

#include <utility>

namespace ibisfork::serving {

CatchUpQueue::CatchUpQueue(event_base *base, Handler handle)
    : m_handle(std::move(handle))
    , m_timer(base, [this] { release(); })
{ }

void CatchUpQueue::update(bool confirmed, bool behind, base::TimePoint now)
{
    if (confirmed || !behind) {
        // Without a newer revision to apply, waiting can't make the node confirmed.
        m_waitDeadline = {};
        release();
    } else if (m_waitDeadline == base::TimePoint{}) {
        m_waitDeadline = now + catchUpTimeout;
    }
}

bool CatchUpQueue::tryEnqueue(const net::HttpServerRequest &request, base::TimePoint now)
{
    if (now >= m_waitDeadline || m_queued.size() >= maxQueued) {
        return false;
    }
    if (m_queued.empty()) {
        m_timer.startOnce(m_waitDeadline - now);
    }
    m_queued.push_back(request);
    return true;
}

void CatchUpQueue::release()
{
    m_timer.stop();
    for (const auto &request : std::exchange(m_queued, {})) {
        if (!request.reply->gone()) {
            m_handle(request);
        }
    }
}

} // namespace ibisfork::serving
