#include "upstream/sseparser.h"

#include <utility>

namespace ibisfork::upstream {

SseParser::SseParser(Handler handler)
    : m_handler(std::move(handler))
{ }

bool SseParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() > maxLineBytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        bytes.remove_prefix(end + 1);
        if (!m_line.empty() && m_line.back() == '\r') {
            m_line.pop_back();
        }
        const std::string line = std::exchange(m_line, {});
        parseLine(line);
    }
    return true;
}

void SseParser::parseLine(std::string_view line)
{
    if (line.empty()) {
        const auto event = std::exchange(m_event, {});
        if (std::exchange(m_pending, false)) {
            m_handler(event);
        }
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "data") {
        m_event.data += m_event.data.empty() ? "" : "\n";
        m_event.data += value;
        m_pending = true;
    } else if (name == "id") {
        m_event.id = value;
    } else if (name == "event") {
        m_event.event = value;
    }
}

} // namespace ibisfork::upstream
