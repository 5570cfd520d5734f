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

/// Cuts a byte stream into server-sent events, in pieces of any size.
class SseParser
{
public:
    using Handler = std::function<void(const ServerSentEvent &)>;

    /// Longest line that is taken, in bytes.
    static constexpr std::size_t maxLine = 1024UL * 1024;

    explicit SseParser(Handler handler);

    /// Returns false once a line is longer than maxLine; the stream is then of no use.
    bool feed(std::string_view bytes);

private:
    void takeLine(std::string_view line);

    Handler m_handler;
    std::string m_line;
    ServerSentEvent m_event;
    bool m_pending = false;
};

} // namespace ibisfork::upstream
