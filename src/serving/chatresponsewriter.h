#pragma once

#include <string>

#include "net/httpserver.h"
#include "upstream/enginestream.h"

namespace ibisfork::serving {

/// Writes a chat completion to its caller as one JSON document or as server-sent events.
class ChatResponseWriter
{
public:
    ChatResponseWriter(net::HttpReply &reply, std::string requestId, bool stream);

    /// Sets the version and the response headers; must be called before the first write(). Starts the response if it is
    /// streamed. A JSON response may begin again, which discards its text so far.
    void begin(const std::string &version, const net::HttpHeaders &headers);
    /// Sends @p text as an event, or appends it to the JSON response.
    void write(const std::string &text);
    /// Ends the response with the token counts of @p usage.
    void finish(const upstream::EngineUsage &usage);

private:
    void prepareEvents();
    std::string event(const std::string &text) const;

    net::HttpReply &m_reply;
    std::string m_requestId;
    bool m_stream;
    std::string m_version;
    /// The part of each event that precedes the text.
    std::string m_eventHead;
    net::HttpHeaders m_headers;
    std::string m_text;
};

} // namespace ibisfork::serving
