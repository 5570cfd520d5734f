#include <ibisfork/base/clock.h>

#include <ctime>

namespace ibisfork::base {

TimePoint monotonicNow()
{
    // CLOCK_BOOTTIME goes on while the machine is suspended, so that a paused process finds its confirmation lapsed.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

std::chrono::milliseconds::rep toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace ibisfork::base
