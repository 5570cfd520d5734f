#include "http/callerconnection.h"

#include <sys/socket.h>

#include <fmt/format.h>

#include "http/status.h"
namespace ibisfork::http {

namespace {

/// Bytes of later requests that are read ahead while one is answered. Reading goes on so that a caller that leaves is
/// noticed.
constexpr std::size_t readAheadBytes = 64UL * 1024;
/// Time that a caller gets to take the last bytes of an answer before its connection is closed.
constexpr std::chrono::milliseconds lingerTimeout{2000};

} // namespace

CallerConnection::CallerConnection(event_base *base,
                                   evutil_socket_t socket,
                                   const CallerBounds &bounds,
                                   Handlers handlers)
    : m_bounds(bounds)
    , m_handlers(std::move(handlers))
    , m_bufferEvent(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_timer(base, [this] { onTimeout(); })
    , m_parser(MessageKind::Request, bounds.maxHeadBytes, [this](std::string_view bytes) {
        if (m_body.size() + bytes.size() > m_bounds.maxBodyBytes) {
            m_bodyTooLong = true;
        } else {
            m_body.append(bytes);
        }
    })
{
    bufferevent_setcb(m_bufferEvent.get(), &onRead, &onWritten, &onEvent, this);
    bufferevent_setwatermark(m_bufferEvent.get(), EV_READ, 0, readAheadBytes);
    bufferevent_enable(m_bufferEvent.get(), EV_READ | EV_WRITE);
    m_timer.startOnce(m_bounds.idleTimeout);
}

CallerConnection::~CallerConnection() = default;

std::size_t CallerConnection::unreadBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(m_bufferEvent.get()));
}

std::size_t CallerConnection::backlog() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bufferEvent.get()));
}

void CallerConnection::onRead(bufferevent *, void *self)
{
    static_cast<CallerConnection *>(self)->readMore();
}

void CallerConnection::onWritten(bufferevent *, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    if (connection.m_closeWhenWritten) {
        connection.finishSending();
    } else if (connection.m_answering && connection.m_handlers.onDrained) {
        connection.m_handlers.onDrained(connection);
    }
}

void CallerConnection::onEvent(bufferevent *, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto &connection = *static_cast<CallerConnection *>(self);
    if (connection.m_answering) {
        connection.m_answering = false;
        connection.m_handlers.onCallerLeft(connection);
    }
    connection.close();
}

void CallerConnection::finishSending()
{
    // Closing with unread bytes would reset the connection and could destroy the answer on its way.
    shutdown(bufferevent_getfd(m_bufferEvent.get()), SHUT_WR);
}

void CallerConnection::readMore()
{
    if (m_closeWhenWritten) {
        auto *input = bufferevent_get_input(m_bufferEvent.get());
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (!m_answering && !m_closed) {
        parse();
    }
}

void CallerConnection::parse()
{
    auto *input = bufferevent_get_input(m_bufferEvent.get());
    while (m_parser.state() == ParseState::Head || m_parser.state() == ParseState::Body) {
        const auto contiguous = evbuffer_get_contiguous_space(input);
        if (contiguous == 0) {
            break;
        }
        const bool fresh = m_parser.untouched();
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
        const auto used = m_parser.feed({bytes, contiguous});
        evbuffer_drain(input, used);
        if (fresh) {
            m_timer.startOnce(m_bounds.headTimeout);
        }
    }
    if (m_parser.state() == ParseState::Malformed) {
        refuse(m_parser.headTooLong() ? http::status::headTooLarge : http::status::badRequest);
        return;
    }
    if (m_bodyTooLong) {
        refuse(http::status::bodyTooLarge);
        return;
    }
    if (m_parser.state() == ParseState::Complete) {
        requestDone();
        return;
    }
    if (m_parser.state() == ParseState::Body) {
        m_timer.startOnce(m_bounds.bodyTimeout);
        if (!m_continueSent && m_parser.request().headers.find("Expect")) {
            m_continueSent = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void CallerConnection::requestDone()
{
    m_timer.stop();
    m_answering = true;
    m_chunked = false;
    m_headRequest = m_parser.request().method == "HEAD";
    m_closeAfter = !m_parser.keepsAlive();
    m_continueSent = false;
    Request request{m_parser.takeRequest(), std::move(m_body)};
    m_parser.reset();
    m_body.clear();
    m_handlers.onRequest(*this, std::move(request));
}

void CallerConnection::refuse(int status)
{
    HeaderList headers;
    headers.add("Connection", "close");
    headers.add("Content-Length", "0");
    write(serializeResponseHead(status, headers) + "\r\n");
    // What the caller still sends is not read as requests.
    m_closeWhenWritten = true;
    m_timer.startOnce(lingerTimeout);
}

void CallerConnection::write(std::string_view bytes)
{
    if (!m_closed) {
        bufferevent_write(m_bufferEvent.get(), bytes.data(), bytes.size());
    }
}

void CallerConnection::sendAnswer(int status, const HeaderList &headers, std::string_view body, bool closeAfter)
{
    auto out = serializeResponseHead(status, headers);
    const bool close = closeAfter || m_closeAfter;
    out += fmt::format("Content-Length: {}\r\n{}\r\n", body.size(), close ? "Connection: close\r\n" : "");
    if (!m_headRequest) {
        out += body;
    }
    write(out);
    answerDone(close);
}

void CallerConnection::beginStream(int status, const HeaderList &headers, bool closeAfter)
{
    m_chunked = true;
    m_closeAfter = m_closeAfter || closeAfter;
    auto out = serializeResponseHead(status, headers);
    out += "Transfer-Encoding: chunked\r\n";
    out += m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
    write(out);
}

void CallerConnection::sendPiece(std::string_view bytes)
{
    std::string chunk = fmt::format("{:x}\r\n", bytes.size());
    chunk.append(bytes).append("\r\n");
    write(chunk);
}

void CallerConnection::endStream()
{
    write("0\r\n\r\n");
    answerDone(m_closeAfter);
}

void CallerConnection::answerDone(bool closeAfter)
{
    m_answering = false;
    if (closeAfter) {
        m_closeWhenWritten = true;
        m_timer.startOnce(lingerTimeout);
        return;
    }
    m_timer.startOnce(m_bounds.idleTimeout);
    if (unreadBytes() > 0) {
        // The next request may be here already; the loop reads it, so that the stack does not grow.
        bufferevent_trigger(m_bufferEvent.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void CallerConnection::abort()
{
    m_answering = false;
    close();
}

void CallerConnection::closeIfIdle()
{
    if (idle() && backlog() == 0) {
        close();
    }
}

void CallerConnection::onTimeout()
{
    const bool midRequest = !m_closeWhenWritten && !m_parser.untouched();
    if (midRequest) {
        refuse(http::status::requestTimeout);
        return;
    }
    close();
}

void CallerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.stop();
    bufferevent_disable(m_bufferEvent.get(), EV_READ | EV_WRITE);
    m_handlers.onClosed(*this);
}

} // namespace ibisfork::http
