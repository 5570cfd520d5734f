#pragma once

#include <map>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

namespace ibisfork::soak {

/// When which engine was silent.
class EnginePauses
{
public:
    /// @p engine is silent from @p from until @p until. Calls come in order of @p from.
    void note(const std::string &engine, base::TimePoint from, base::TimePoint until);
    /// Time between @p from and @p to in which @p engine was not silent.
    base::Duration awake(const std::string &engine, base::TimePoint from, base::TimePoint to) const;

private:
    struct Span
    {
        base::TimePoint from{};
        base::TimePoint until{};
    };

    std::map<std::string, std::vector<Span>> m_spans;
};

} // namespace ibisfork::soak
