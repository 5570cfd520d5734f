#include "gateway/eventlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include <fmt/chrono.h>

#include <ibisfork/base/clock.h>

#include "gateway/tokenbucket.h"

namespace ibisfork::gateway {

namespace {

/// Rate limits in lines per second, with bursts of the same size. Logging takes processor time from requests.
constexpr double routineRate = 10;
constexpr double failureRate = 20;
/// Limit for lines buffered while standard output cannot be written.
constexpr std::size_t maxBufferedBytes = 64UL * 1024;

/// Buffered, non-blocking standard output.
class Output
{
public:
    Output()
    {
        const auto flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0) {
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
    }

    bool admit(Importance importance)
    {
        const auto now = base::monotonicNow();
        bool admitted = true;
        if (importance == Importance::Routine) {
            admitted = m_routine.consume(now, routineRate);
        } else if (importance == Importance::Failure) {
            admitted = m_failure.consume(now, failureRate);
        }
        m_suppressed += admitted ? 0 : 1;
        return admitted;
    }

    void put(std::string line)
    {
        if (m_suppressed > 0) {
            line += fmt::format(" left_out={}", m_suppressed);
        }
        line += '\n';
        if (m_buffer.size() + line.size() > maxBufferedBytes) {
            ++m_suppressed;
        } else {
            m_suppressed = 0;
            m_buffer += line;
        }
        flush();
    }

    std::string node = "-";

private:
    void flush()
    {
        const auto written = write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (written > 0) {
            m_buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

    TokenBucket m_routine{routineRate};
    TokenBucket m_failure{failureRate};
    std::uint64_t m_suppressed = 0;
    std::string m_buffer;
};

Output &output()
{
    static Output instance;
    return instance;
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \t\n\r\"=\\") != std::string::npos;
}

} // namespace

void EventLog::setNode(const std::string &node)
{
    output().node = node;
}

EventLog::EventLog(Importance importance, std::string_view event)
    : m_enabled(output().admit(importance))
{
    if (!m_enabled) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    m_line = fmt::format("time={} node={} event={}", now.time_since_epoch().count(), output().node, event);
}

EventLog::~EventLog()
{
    if (m_enabled) {
        output().put(std::move(m_line));
    }
}

void EventLog::append(std::string_view key, const std::string &value)
{
    m_line.append(" ").append(key).append("=");
    if (!needsQuotes(value)) {
        m_line += value;
        return;
    }
    m_line += '"';
    for (const char c : value) {
        const bool breaksLine = c == '\n' || c == '\r' || c == '"' || c == '\\';
        m_line += breaksLine ? ' ' : c;
    }
    m_line += '"';
}

} // namespace ibisfork::gateway
