#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace ibisfork::upstream {

/// One server-sent event.
struct ServerSentEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Incremental parser of server-sent events; accepts input in chunks of any size.
class SseParser
{
public:
    using Handler = std::function<void(const ServerSentEvent &)>;

    /// Maximum length of a line, in bytes.
    static constexpr std::size_t maxLineBytes = 1024UL * 1024;

    explicit SseParser(Handler handler);

    /// Parses @p bytes; returns false once a line is longer than maxLineBytes, after which parsing cannot continue.
    bool feed(std::string_view bytes);

private:
    void parseLine(std::string_view line);

    Handler m_handler;
    std::string m_line;
    ServerSentEvent m_event;
    bool m_pending = false;
};

} // namespace ibisfork::upstream
