#include <ibisfork/base/log.h>

#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

#include <ibisfork/base/names.h>

namespace ibisfork::base {

namespace {

constexpr std::array<Name<LogLevel>, 4> logLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

std::atomic<LogLevel> &threshold()
{
    static std::atomic<LogLevel> level{LogLevel::Info};
    return level;
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \t\n\r\"=\\") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        // A line of the log is one line of text whatever callers send.
        out += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return out + '"';
}

} // namespace

void setLogLevel(LogLevel level)
{
    threshold() = level;
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_enabled(level >= threshold().load())
{
    if (!m_enabled) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    m_line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                         fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                         milliseconds,
                         nameOf(logLevelNames, level),
                         event);
}

LogLine::~LogLine()
{
    if (m_enabled) {
        m_line += '\n';
        std::fwrite(m_line.data(), 1, m_line.size(), stderr);
    }
}

void LogLine::append(std::string_view key, const std::string &value)
{
    m_line += fmt::format(" {}={}", key, needsQuotes(value) ? quoted(value) : value);
}

} // namespace ibisfork::base
