#pragma once

#include <functional>
#include <map>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Callers that take their answers so slowly that the node can't read on from their engines. Engines cut off answers
/// that stay unread for some seconds; before that, the node ends answers itself, the slowest caller's first, until it
/// has room for the others.
class SlowCallers
{
public:
    /// An answer that has waited for its caller for this long may be ended.
    static constexpr std::chrono::milliseconds patience{2000};
    /// Time between two ends, in which the memory of the first comes free.
    static constexpr std::chrono::milliseconds endInterval{250};

    /// Records that the caller @p id has been behind since @p since; @p end breaks its answer off.
    void add(const void *id, base::TimePoint since, std::function<void()> end);
    void remove(const void *id);
    /// Ends the answer of the caller that has been behind for longest, if that is longer than patience.
    void endSlowest(base::TimePoint now);

private:
    struct Caller
    {
        base::TimePoint since{};
        std::function<void()> end;
    };

    std::map<const void *, Caller> m_callers;
    base::TimePoint m_endedAt{};
};

} // namespace ibisfork::gateway
