#pragma once

#include <functional>
#include <vector>

#include <ibisfork/base/clock.h>

#include "net/timer.h"

namespace ibisfork::soak {

/// Times in which an engine is silent, and what it has put off until they are over.
class EnginePause
{
public:
    explicit EnginePause(event_base *base);

    /// Pauses from now on, or longer if there is a pause already.
    void start(base::Duration lasts);
    bool active() const { return m_active; }
    /// Calls @p step now, or after the pause; steps keep their order.
    void whenOver(std::function<void()> step);
    /// Ends the pause without the steps put off.
    void cancel();

private:
    void end();

    bool m_active = false;
    base::TimePoint m_until{};
    std::vector<std::function<void()>> m_putOff;
    net::Timer m_timer;
};

} // namespace ibisfork::soak
