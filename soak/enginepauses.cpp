#include "enginepauses.h"

#include <algorithm>

namespace ibisfork::soak {

void EnginePauses::note(const std::string &engine, base::TimePoint from, base::TimePoint until)
{
    auto &spans = m_spans[engine];
    if (!spans.empty() && spans.back().until >= from) {
        spans.back().until = std::max(spans.back().until, until);
    } else {
        spans.push_back({from, until});
    }
}

base::Duration EnginePauses::awake(const std::string &engine, base::TimePoint from, base::TimePoint to) const
{
    auto time = std::max(to - from, base::Duration{});
    const auto found = m_spans.find(engine);
    if (found == m_spans.end()) {
        return time;
    }
    for (const auto &span : found->second) {
        const auto silent = std::min(span.until, to) - std::max(span.from, from);
        time -= std::max(silent, base::Duration{});
    }
    return time;
}

} // namespace ibisfork::soak
