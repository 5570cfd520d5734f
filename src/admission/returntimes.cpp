#include "admission/returntimes.h"

#include <algorithm>

namespace ibisfork::admission {

base::Duration ReturnTimes::next(base::Duration wait, base::Duration interval, base::TimePoint now)
{
    const base::TimePoint earliest = now + wait;
    auto at = std::max(earliest, m_last + interval);
    if (at > earliest + longestSpread) {
        // More callers than can be spread: the next round begins.
        at = earliest;
    }
    m_last = at;
    return at - now;
}

} // namespace ibisfork::admission
