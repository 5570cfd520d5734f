#include "http/messageparser.h"

#include <algorithm>
#include <cctype>

#include "http/status.h"

namespace ibisfork::http {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lineEnd = "\r\n";
/// An upstream that sends more interim answers than this before a final one is not answering.
constexpr unsigned maxInterimAnswers = 1000;
constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";

bool isInterimStatus(int status)
{
    return status >= status::firstInterim && status < status::firstSuccess;
}

bool isTokenCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || tokenPunctuation.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValueCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool isHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon))
        && std::all_of(line.begin() + static_cast<std::ptrdiff_t>(colon), line.end(), isValueCharacter);
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// True for a version, one space and a status of three digits from 100 to 599. The library takes any number of digits
/// and of spaces, so that an upstream in trouble could hand on a status that no caller knows.
bool isStatusLine(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t statusAt = version.size() + 2;
    constexpr std::size_t statusEnd = statusAt + 3;
    if (line.size() < statusEnd || !line.starts_with(version) || !isDigit(line[version.size()])
        || line[version.size() + 1] != ' ') {
        return false;
    }
    const auto status = line.substr(statusAt, statusEnd - statusAt);
    const bool isNumber = std::all_of(status.begin(), status.end(), isDigit);
    const bool isKnownClass = status.front() >= '1' && status.front() <= '5';
    return isNumber && isKnownClass && (line.size() == statusEnd || line[statusEnd] == ' ');
}

/// The library takes a bare line feed, a folded line and white space before a colon. Two readers of such a head can
/// disagree about where the message ends, so none of them is taken.
bool headIsStrict(std::string_view head, MessageKind kind)
{
    bool startLine = true;
    while (!head.empty()) {
        const auto end = head.find(lineEnd);
        const auto line = head.substr(0, end);
        if (line.find_first_of("\r\n") != std::string_view::npos) {
            return false;
        }
        if (!startLine && !line.empty() && !isHeaderLine(line)) {
            return false;
        }
        if (startLine && kind == MessageKind::Response && !isStatusLine(line)) {
            return false;
        }
        startLine = false;
        head.remove_prefix(end + lineEnd.size());
    }
    return true;
}

} // namespace

MessageParser::MessageParser(MessageKind kind, std::size_t maxHeadBytes, BodySink sink, HeadSink onHead)
    : m_kind(kind)
    , m_maxHeadBytes(maxHeadBytes)
    , m_sink(std::move(sink))
    , m_onHead(std::move(onHead))
{
    reset();
}

void MessageParser::reset(bool bodyless)
{
    m_bodyless = bodyless;
    m_interimAnswers = 0;
    beginHead();
}

void MessageParser::beginHead()
{
    http_parser_init(&m_parser, m_kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_state = ParseState::Head;
    m_headBytes.clear();
    m_name.clear();
    m_value.clear();
    m_valueBegun = false;
    m_headTooLong = false;
    m_lengthUnknown = false;
    m_keepsAlive = false;
    m_request = {};
    m_response = {};
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    if (m_state == ParseState::Head) {
        while (m_state == ParseState::Head && used < bytes.size()) {
            used += feedHead(bytes.substr(used));
        }
        const bool headDone = m_state == ParseState::Body || m_state == ParseState::Complete;
        if (headDone && m_onHead) {
            m_onHead();
        }
    }
    if (m_state == ParseState::Body && used < bytes.size()) {
        used += execute(bytes.substr(used));
    }
    return used;
}

std::size_t MessageParser::feedHead(std::string_view bytes)
{
    const auto before = m_headBytes.size();
    const auto searchFrom = before >= headEnd.size() ? before - headEnd.size() + 1 : 0;
    const auto room = m_maxHeadBytes + headEnd.size() - before;
    const auto taken = bytes.substr(0, room);
    m_headBytes.append(taken);
    const auto dropped = dropEmptyLines();
    const auto end = m_headBytes.find(headEnd, dropped > 0 ? 0 : searchFrom);
    if (end == std::string::npos) {
        if (m_headBytes.size() >= m_maxHeadBytes) {
            m_headTooLong = true;
            m_state = ParseState::Malformed;
        }
        return taken.size();
    }
    m_headBytes.resize(end + headEnd.size());
    const auto used = m_headBytes.size() + dropped - before;
    if (!headIsStrict(m_headBytes, m_kind)) {
        m_state = ParseState::Malformed;
        return used;
    }
    execute(m_headBytes);
    if (isInterim()) {
        skipInterim();
    }
    return used;
}

std::size_t MessageParser::dropEmptyLines()
{
    if (m_kind != MessageKind::Request) {
        return 0;
    }
    std::size_t dropped = 0;
    while (m_headBytes.compare(dropped, lineEnd.size(), lineEnd) == 0) {
        dropped += lineEnd.size();
    }
    m_headBytes.erase(0, dropped);
    return dropped;
}

bool MessageParser::isInterim() const
{
    return m_kind == MessageKind::Response && m_state == ParseState::Complete && isInterimStatus(m_response.status);
}

void MessageParser::skipInterim()
{
    if (++m_interimAnswers > maxInterimAnswers) {
        m_state = ParseState::Malformed;
        return;
    }
    beginHead();
}

std::size_t MessageParser::execute(std::string_view bytes)
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = &MessageParser::onUrl;
        callbacks.on_header_field = &MessageParser::onHeaderField;
        callbacks.on_header_value = &MessageParser::onHeaderValue;
        callbacks.on_headers_complete = &MessageParser::onHeadersComplete;
        callbacks.on_body = &MessageParser::onBody;
        callbacks.on_message_complete = &MessageParser::onMessageComplete;
        return callbacks;
    }();
    const auto used = http_parser_execute(&m_parser, &settings, bytes.data(), bytes.size());
    if (m_state != ParseState::Complete && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        m_state = ParseState::Malformed;
    }
    if (m_parser.upgrade != 0) {
        m_state = ParseState::Malformed;
    }
    return used;
}

void MessageParser::finish()
{
    if (m_state != ParseState::Body) {
        return;
    }
    execute({});
}

void MessageParser::flushHeader()
{
    if (!m_name.empty() && m_state == ParseState::Head) {
        headers().add(std::move(m_name), std::move(m_value));
    }
    m_name.clear();
    m_value.clear();
    m_valueBegun = false;
}

int MessageParser::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    static_cast<MessageParser *>(parser->data)->m_request.target.append(at, length);
    return 0;
}

int MessageParser::onHeaderField(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<MessageParser *>(parser->data);
    if (self.m_valueBegun) {
        self.flushHeader();
    }
    self.m_name.append(at, length);
    return 0;
}

int MessageParser::onHeaderValue(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<MessageParser *>(parser->data);
    self.m_valueBegun = true;
    self.m_value.append(at, length);
    return 0;
}

bool MessageParser::framingIsClear() const
{
    const auto &list = m_kind == MessageKind::Request ? m_request.headers : m_response.headers;
    const auto encoding = list.find("Transfer-Encoding");
    const auto encodings = list.count("Transfer-Encoding");
    const auto lengths = list.count("Content-Length");
    const bool chunked = encoding && equalNames(*encoding, "chunked");
    return lengths <= 1 && encodings <= 1 && (!encoding || chunked) && !(encoding && lengths != 0);
}

bool MessageParser::endsWithConnection() const
{
    const auto &list = m_response.headers;
    return status::mayHaveBody(m_response.status) && !list.find("Transfer-Encoding") && !list.find("Content-Length");
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    constexpr int skipBody = 1;
    constexpr int fail = -1;
    auto &self = *static_cast<MessageParser *>(parser->data);
    self.flushHeader();
    if (!self.framingIsClear()) {
        return fail;
    }
    if (self.m_kind == MessageKind::Request) {
        self.m_request.method = http_method_str(static_cast<http_method>(parser->method));
        // An offer to change the protocol may be left unanswered; the request holds as it is.
        parser->upgrade = parser->method == HTTP_CONNECT ? 1 : 0;
    } else {
        self.m_response.status = static_cast<int>(parser->status_code);
        if (self.m_response.status == status::switchingProtocols) {
            return fail;
        }
        if (isInterimStatus(self.m_response.status)) {
            self.m_state = ParseState::Body;
            return skipBody;
        }
        self.m_lengthUnknown = !self.m_bodyless && self.endsWithConnection();
    }
    self.m_keepsAlive = http_should_keep_alive(parser) != 0;
    self.m_state = ParseState::Body;
    return self.m_bodyless ? skipBody : 0;
}

int MessageParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    static_cast<MessageParser *>(parser->data)->m_sink({at, length});
    return 0;
}

int MessageParser::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<MessageParser *>(parser->data);
    self.m_state = ParseState::Complete;
    // Bytes behind this message are left to the caller.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace ibisfork::http
