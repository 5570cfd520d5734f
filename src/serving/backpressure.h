#pragma once

#include <functional>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Pauses the source of a response while more than a given number of bytes is buffered for its caller.
class BackPressure
{
public:
    /// @p pause is called with true to pause the source and with false to resume it. The source resumes once at most
    /// half of @p maxBytes is buffered.
    BackPressure(event_base *base, net::HttpReply &reply, std::size_t maxBytes, std::function<void(bool)> pause);

    /// Must be called after each write to the caller.
    void onWritten();
    /// Stops checking the buffer; @p pause is not called any more.
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
