#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace ibisfork::gateway {

/// How much a line matters when there is more to write than the budget allows.
enum class Importance {
    Routine, ///< Left out first.
    Failure, ///< A request that did not end well; has a budget of its own.
    State, ///< What the process believes has changed; never left out for the budget.
};

/// One key=value line on standard output. Writing never blocks: what does not fit is left out, counted, and the count
/// is said in a later line.
class EventLog
{
public:
    static EventLog state(std::string_view event) { return {Importance::State, event}; }
    static EventLog failure(std::string_view event) { return {Importance::Failure, event}; }
    static EventLog routine(std::string_view event) { return {Importance::Routine, event}; }

    EventLog(Importance importance, std::string_view event);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    template<typename Value>
    EventLog &field(std::string_view key, const Value &value)
    {
        if (m_enabled) {
            append(key, fmt::format("{}", value));
        }
        return *this;
    }

    /// Names this process in all lines from now on.
    static void setNode(const std::string &node);

private:
    void append(std::string_view key, const std::string &value);

    bool m_enabled;
    std::string m_line;
};

} // namespace ibisfork::gateway
