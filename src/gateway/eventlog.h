#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace ibisfork::gateway {

/// Class of a log line, which decides its rate limit.
enum class Importance {
    Routine, ///< Has the lowest rate limit.
    Failure, ///< A failed request; has a rate limit of its own.
    State, ///< A change of the process's state; not rate-limited.
};

/// One key=value line on standard output, written on destruction. Writing never blocks: lines over the rate limit or
/// the buffer size are dropped and counted, and the next line that is written carries the count as left_out.
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

    /// Sets the node name that all further lines carry.
    static void setNode(const std::string &node);

private:
    void append(std::string_view key, const std::string &value);

    bool m_enabled;
    std::string m_line;
};

} // namespace ibisfork::gateway
