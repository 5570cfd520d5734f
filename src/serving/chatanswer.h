#pragma once

#include <string>

#include "net/httpserver.h"
#include "upstream/enginestream.h"

namespace ibisfork::serving {

/// Writes a chat completion to its caller, as one JSON document or as server-sent events.
class ChatAnswer
{
public:
    ChatAnswer(net::HttpReply &reply, std::string requestId, bool stream);

    /// Names the version before the first piece and the headers that go with the answer. A JSON answer may begin anew.
    void begin(const std::string &version, const net::HttpHeaders &headers);
    void piece(const std::string &text);
    void finish(const upstream::EngineUsage &usage);

private:
    void prepareEvents();
    std::string event(const std::string &text) const;

    net::HttpReply &m_reply;
    std::string m_requestId;
    bool m_stream;
    std::string m_version;
    /// What stands before the text in each event.
    std::string m_eventHead;
    net::HttpHeaders m_headers;
    std::string m_text;
};

} // namespace ibisfork::serving
