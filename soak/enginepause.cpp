#include "enginepause.h"

#include <algorithm>
#include <utility>

namespace ibisfork::soak {

EnginePause::EnginePause(event_base *base)
    : m_timer(base, [this] { end(); })
{ }

void EnginePause::start(base::Duration lasts)
{
    const auto now = base::monotonicNow();
    m_active = true;
    m_until = std::max(m_until, now + lasts);
    m_timer.startOnce(m_until - now);
}

void EnginePause::whenOver(std::function<void()> step)
{
    if (m_active) {
        m_putOff.push_back(std::move(step));
    } else {
        step();
    }
}

void EnginePause::cancel()
{
    m_active = false;
    m_timer.stop();
    m_putOff.clear();
}

void EnginePause::end()
{
    m_active = false;
    for (const auto &step : std::exchange(m_putOff, {})) {
        step();
    }
}

} // namespace ibisfork::soak
