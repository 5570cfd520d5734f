#pragma once

#include <functional>
#include <string>
#include <string_view>

extern "C" {
#include <http_parser.h>
}

#include "http/message.h"

namespace ibisfork::http {

enum class MessageKind { Request, Response };

enum class ParseState {
    Head, ///< The head is not complete.
    Body, ///< The head can be read; body bytes are handed on as they come.
    Complete, ///< The message is whole.
    Malformed, ///< The bytes are no message that may be taken.
};

/// Reads one message at a time. Stricter than its parser library: no bare line feeds, no folded lines, no white space
/// before a colon, and no doubt about the length of the body. Interim answers (status 1xx) before the final one are
/// skipped, and so are empty lines before a request.
class MessageParser
{
public:
    using BodySink = std::function<void(std::string_view)>;
    using HeadSink = std::function<void()>;

    /// Heads above @p maxHeadBytes are malformed. @p onHead, if given, is called before the first byte of the body.
    MessageParser(MessageKind kind, std::size_t maxHeadBytes, BodySink sink, HeadSink onHead = {});
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Starts anew. @p bodyless: the answer to HEAD, which has no body whatever its head says.
    void reset(bool bodyless = false);

    /// Changes the bound on heads. It must not be lowered while a head is being read.
    void setMaxHeadBytes(std::size_t maxHeadBytes) { m_maxHeadBytes = maxHeadBytes; }

    /// Takes bytes and returns how many belong to this message.
    std::size_t feed(std::string_view bytes);
    /// Notes the end of the connection; a body without a length is complete then.
    void finish();

    ParseState state() const { return m_state; }
    /// True while no byte of the message has come.
    bool untouched() const { return m_state == ParseState::Head && m_headBytes.empty(); }
    /// Bytes of the head, as far as it has come.
    std::size_t headBytes() const { return m_headBytes.size(); }
    /// True if the head was longer than allowed.
    bool headTooLong() const { return m_headTooLong; }
    /// True if the body ends with the connection.
    bool lengthUnknown() const { return m_lengthUnknown; }
    /// True if the sender speaks HTTP/1.0, which has no chunks.
    bool isHttp10() const { return m_parser.http_major == 1 && m_parser.http_minor == 0; }
    /// True if the sender keeps the connection open after this message.
    bool keepsAlive() const { return m_keepsAlive; }

    const RequestHead &request() const { return m_request; }
    const ResponseHead &response() const { return m_response; }
    RequestHead takeRequest() { return std::move(m_request); }

private:
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderField(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);

    void beginHead();
    std::size_t feedHead(std::string_view bytes);
    std::size_t dropEmptyLines();
    bool isInterim() const;
    void skipInterim();
    std::size_t execute(std::string_view bytes);
    void flushHeader();
    bool framingIsClear() const;
    bool endsWithConnection() const;
    HeaderList &headers() { return m_kind == MessageKind::Request ? m_request.headers : m_response.headers; }

    MessageKind m_kind;
    std::size_t m_maxHeadBytes;
    BodySink m_sink;
    HeadSink m_onHead;
    http_parser m_parser{};
    ParseState m_state = ParseState::Head;
    std::string m_headBytes;
    std::string m_name;
    std::string m_value;
    bool m_valueBegun = false;
    bool m_bodyless = false;
    unsigned m_interimAnswers = 0;
    bool m_headTooLong = false;
    bool m_lengthUnknown = false;
    bool m_keepsAlive = false;
    RequestHead m_request;
    ResponseHead m_response;
};

} // namespace ibisfork::http
