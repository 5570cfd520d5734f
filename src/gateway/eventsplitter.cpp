#include "gateway/eventsplitter.h"

#include <charconv>

namespace ibisfork::gateway {

namespace {

constexpr std::string_view idField = "id:";

/// Returns the position after the empty line that ends the first event of @p text, or npos if the event is incomplete.
std::size_t eventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    bool lineEmpty = true;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\n') {
            if (lineEmpty && lineStart > 0) {
                return i + 1;
            }
            lineStart = i + 1;
            lineEmpty = true;
        } else if (text[i] != '\r') {
            lineEmpty = false;
        }
    }
    return std::string_view::npos;
}

/// Returns the numeric id of @p event, or nothing if it has none.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    std::size_t at = event.starts_with(idField) ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    at = event.find(':', at) + 1;
    while (at < event.size() && event[at] == ' ') {
        ++at;
    }
    std::uint64_t id = 0;
    const auto result = std::from_chars(event.data() + at, event.data() + event.size(), id);
    return result.ec == std::errc() ? std::optional(id) : std::nullopt;
}

} // namespace

bool EventSplitter::feed(std::string_view bytes, const Sink &sink)
{
    std::string joined;
    std::string_view text = bytes;
    if (!m_rest.empty()) {
        joined = std::move(m_rest);
        joined.append(bytes);
        text = joined;
    }
    m_rest.clear();
    for (auto end = eventEnd(text); end != std::string_view::npos; end = eventEnd(text)) {
        const auto event = text.substr(0, end);
        sink({idOf(event), event});
        text.remove_prefix(end);
    }
    m_rest = std::string(text);
    return m_rest.size() <= maxEventBytes;
}

} // namespace ibisfork::gateway
