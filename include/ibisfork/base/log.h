#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace ibisfork::base {

enum class LogLevel { Debug, Info, Warning, Error };

/// Lines below @p level are not written.
void setLogLevel(LogLevel level);

/// One key=value line on standard error, written when the object goes.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    template<typename Value>
    LogLine &field(std::string_view key, const Value &value)
    {
        if (m_enabled) {
            append(key, fmt::format("{}", value));
        }
        return *this;
    }

private:
    void append(std::string_view key, const std::string &value);

    bool m_enabled;
    std::string m_line;
};

} // namespace ibisfork::base
