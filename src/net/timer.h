#pragma once

#include <functional>

#include <ibisfork/base/clock.h>

#include "net/libevent.h"

namespace ibisfork::net {

/// Calls a function on the loop's thread, once or at an interval. Stops when it is destroyed.
class Timer
{
public:
    Timer(event_base *base, std::function<void()> callback);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(base::Duration delay);
    void startEvery(base::Duration interval);
    void stop();

private:
    static void onEvent(evutil_socket_t, short, void *self);
    void arm(base::Duration delay);

    std::function<void()> m_callback;
    base::Duration m_interval{};
    EventPtr m_event;
};

} // namespace ibisfork::net
