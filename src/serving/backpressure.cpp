#include "serving/backpressure.h"

namespace ibisfork::serving {

namespace {

constexpr std::chrono::milliseconds checkInterval{10};

} // namespace

BackPressure::BackPressure(event_base *base,
                           net::HttpReply &reply,
                           std::size_t maxBytes,
                           std::function<void(bool)> pause)
    : m_reply(reply)
    , m_maxBytes(maxBytes)
    , m_pause(std::move(pause))
    , m_timer(base, [this] { check(); })
{ }

void BackPressure::onWritten()
{
    if (!m_paused && m_reply.bufferedBytes() > m_maxBytes) {
        m_paused = true;
        m_pause(true);
        m_timer.startEvery(checkInterval);
    }
}

void BackPressure::check()
{
    if (m_reply.bufferedBytes() <= m_maxBytes / 2) {
        m_paused = false;
        m_timer.stop();
        m_pause(false);
    }
}

} // namespace ibisfork::serving
