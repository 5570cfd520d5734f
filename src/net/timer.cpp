#include "net/timer.h"

#include "net/guard.h"

namespace ibisfork::net {

Timer::Timer(event_base *base, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(event_new(base, -1, 0, &Timer::onEvent, this))
{ }

void Timer::startOnce(base::Duration delay)
{
    m_interval = base::Duration::zero();
    arm(delay);
}

void Timer::startEvery(base::Duration interval)
{
    m_interval = interval;
    arm(interval);
}

void Timer::stop()
{
    m_interval = base::Duration::zero();
    event_del(m_event.get());
}

void Timer::arm(base::Duration delay)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(delay).count();
    const timeval time{microseconds / 1000000, microseconds % 1000000};
    event_add(m_event.get(), &time);
}

void Timer::onEvent(evutil_socket_t, short, void *self)
{
    auto *timer = static_cast<Timer *>(self);
    if (timer->m_interval > base::Duration::zero()) {
        timer->arm(timer->m_interval);
    }
    // The callback may destroy the timer, so it runs from a copy and comes last.
    const auto callback = timer->m_callback;
    runGuarded("timer", callback);
}

} // namespace ibisfork::net
