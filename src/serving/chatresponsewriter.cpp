#include "serving/chatresponsewriter.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::serving {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr const char *eventTail = "}}]}\n\n";

Json usageJson(const upstream::EngineUsage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
            {"completion_tokens", usage.completionTokens},
            {"total_tokens", usage.promptTokens + usage.completionTokens}};
}

} // namespace

ChatResponseWriter::ChatResponseWriter(net::HttpReply &reply, std::string requestId, bool stream)
    : m_reply(reply)
    , m_requestId(std::move(requestId))
    , m_stream(stream)
{ }

void ChatResponseWriter::begin(const std::string &version, const net::HttpHeaders &headers)
{
    m_version = version;
    m_text.clear();
    m_headers = headers;
    m_headers.add("Content-Type", m_stream ? "text/event-stream" : "application/json");
    if (m_stream) {
        prepareEvents();
        m_reply.start(statusOk, m_headers);
    }
}

void ChatResponseWriter::write(const std::string &text)
{
    if (m_stream) {
        m_reply.chunk(event(text));
    } else {
        m_text += text;
    }
}

void ChatResponseWriter::finish(const upstream::EngineUsage &usage)
{
    if (m_stream) {
        const Json last{{"id", m_requestId},
                        {"object", "chat.completion.chunk"},
                        {"model", m_version},
                        {"choices", {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}}},
                        {"usage", usageJson(usage)}};
        m_reply.chunk(fmt::format("data: {}\n\ndata: [DONE]\n\n", last.dump()));
        m_reply.end();
        return;
    }
    const Json message{{"role", "assistant"}, {"content", m_text}};
    const Json whole{{"id", m_requestId},
                     {"object", "chat.completion"},
                     {"model", m_version},
                     {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
                     {"usage", usageJson(usage)}};
    m_reply.send(statusOk, m_headers, whole.dump());
}

void ChatResponseWriter::prepareEvents()
{
    // Events differ only in their text, and there are thousands a second: the part before the text is serialised once.
    m_eventHead = fmt::format(R"(data: {{"id":{},"object":"chat.completion.chunk","model":{},)"
                              R"("choices":[{{"index":0,"finish_reason":null,"delta":{{"content":)",
                              Json(m_requestId).dump(),
                              Json(m_version).dump());
}

std::string ChatResponseWriter::event(const std::string &text) const
{
    return m_eventHead + Json(text).dump() + eventTail;
}

} // namespace ibisfork::serving
