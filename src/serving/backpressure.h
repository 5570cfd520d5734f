#pragma once

#include <functional>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Pauses the source of an answer while its caller lags behind by more than a bound.
class BackPressure
{
public:
    /// @p pause is called with true to stop the source and with false to let it go on.
    BackPressure(event_base *base, net::HttpReply &reply, std::size_t maxBytes, std::function<void(bool)> pause);

    /// To be called after each write to the caller.
    void wrote();
    void stop() { m_timer.stop(); }
    bool paused() const { return m_paused; }

private:
    void check();

    net::HttpReply &m_reply;
    std::size_t m_maxBytes;
    std::function<void(bool)> m_pause;
    bool m_paused = false;
    net::Timer m_timer;
};

} // namespace ibisfork::serving
