#pragma once

#include <ibisfork/base/clock.h>

namespace ibisfork::admission {

/// Spreads the times at which rejected callers are told to come back, so that they return one by one as capacity
/// becomes free and not all at once.
class ReturnTimes
{
public:
    /// No caller is told to come back later than this after its own wait.
    static constexpr std::chrono::milliseconds longestSpread{2000};

    /// Time after which the next caller should return: after @p wait at the earliest, and @p interval after the caller
    /// before it.
    base::Duration next(base::Duration wait, base::Duration interval, base::TimePoint now);

private:
    base::TimePoint m_last{};
};

} // namespace ibisfork::admission
