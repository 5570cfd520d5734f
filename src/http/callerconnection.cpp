#include "http/callerconnection.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

#include "http/latebytes.h"
#include "http/requestsize.h"
#include "http/status.h"
#include "net/guard.h"

namespace ibisfork::http {

namespace {

/// Bytes of later requests that are read ahead while one is answered. Reading goes on so that a caller that leaves is
/// noticed.
constexpr std::size_t readAheadBytes = 64UL * 1024;
/// A caller that has left more bytes of its answers than this gets no further one. Requests are shorter than their
/// answers, so that what is read ahead would not bound these.
constexpr std::size_t mostUntakenBytes = 64UL * 1024;
/// Time that a caller gets to close its side after the last answer.
constexpr std::chrono::milliseconds lingerTimeout{2000};
/// Bytes that the kernel keeps for a connection that is not read; they count as memory of the process.
constexpr int receiveBufferBytes = 128 * 1024;
/// Retry-After in seconds of a request that found no memory: about what the requests that hold it still take.
constexpr const char *retryAfterNoMemory = "1";
/// A request may be on its way on a connection that was opened or used less than this ago.
constexpr std::chrono::milliseconds firstByteTime{200};
/// A connection that is not read, since the memory budget is used up, is read again after this time.
constexpr std::chrono::milliseconds readAgainInterval{100};

} // namespace

CallerConnection::CallerConnection(event_base *base,
                                   evutil_socket_t socket,
                                   CallerBoundsSource bounds,
                                   Handlers handlers,
                                   memory::BudgetPtr budget)
    : m_boundsSource(std::move(bounds))
    , m_bounds(m_boundsSource())
    , m_handlers(std::move(handlers))
    , m_bufferEvent(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_timer(base, [this] { onTimeout(); })
    , m_readAgain(base, [this] { pauseReading(false); })
    , m_parser(
          MessageKind::Request,
          m_bounds.maxHeadBytes,
          [this](std::string_view bytes) { collectBody(bytes); },
          [this] { expectBody(); })
    , m_body(budget)
    , m_read(budget)
    , m_unsent(std::move(budget))
{
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    bufferevent_setcb(m_bufferEvent.get(), &onRead, &onWritten, &onEvent, this);
    bufferevent_setwatermark(m_bufferEvent.get(), EV_READ, 0, readAheadBytes);
    bufferevent_enable(m_bufferEvent.get(), EV_READ | EV_WRITE);
    await(Wait::Request);
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

void CallerConnection::await(Wait wait)
{
    m_wait = wait;
    m_waitBegan = base::monotonicNow();
    m_lastBacklog = backlog();
    m_timer.startOnce(waitBound());
}

base::Duration CallerConnection::waitBound() const
{
    switch (m_wait) {
    case Wait::Request:
    case Wait::AnswerTaken:
        return m_bounds.idleTimeout;
    case Wait::Head:
        return m_bounds.headTimeout;
    case Wait::Body:
        return m_bounds.bodyTimeout;
    case Wait::CallerEnd:
        return lingerTimeout;
    }
    return m_bounds.idleTimeout;
}

ConnectionStage CallerConnection::stage() const
{
    if (m_answering) {
        return ConnectionStage::Answering;
    }
    if (!m_parser.untouched()) {
        const bool headIsRead = m_parser.state() == ParseState::Body || m_parser.state() == ParseState::Complete;
        return headIsRead ? ConnectionStage::Body : ConnectionStage::Head;
    }
    return backlog() > 0 ? ConnectionStage::Sending : ConnectionStage::Unused;
}

bool CallerConnection::takesBytes() const
{
    pollfd socket{bufferevent_getfd(m_bufferEvent.get()), POLLOUT, 0};
    return poll(&socket, 1, 0) > 0;
}

bool CallerConnection::hasBytesToRead() const
{
    int bytes = 0;
    return ioctl(bufferevent_getfd(m_bufferEvent.get()), FIONREAD, &bytes) == 0 && bytes > 0;
}

bool CallerConnection::hasNextRequest() const
{
    return unreadBytes() > 0 || hasBytesToRead();
}

template<typename Callback>
void CallerConnection::runGuarded(const Callback &callback)
{
    if (!net::runGuarded("caller", callback)) {
        net::runGuarded("caller", [this] { abort(); });
    }
}

void CallerConnection::onRead(bufferevent *, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    connection.runGuarded([&] { connection.readMore(); });
}

void CallerConnection::onWritten(bufferevent *, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    connection.runGuarded([&] { connection.bytesSent(); });
}

void CallerConnection::bytesSent()
{
    countBacklog();
    if (m_wait == Wait::AnswerTaken && !m_answering) {
        answerSent();
        readNextRequest();
    } else if (m_answering && m_handlers.onDrained) {
        m_handlers.onDrained(*this);
    }
}

void CallerConnection::onEvent(bufferevent *, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto &connection = *static_cast<CallerConnection *>(self);
    connection.runGuarded([&] { connection.callerEnded((what & BEV_EVENT_ERROR) != 0); });
}

void CallerConnection::callerEnded(bool broken)
{
    m_end.stage = stage();
    m_callerEnded = true;
    if (m_answering) {
        m_handlers.onCallerLeft(*this);
    }
    const bool isAnswered = !std::exchange(m_answering, false);
    if (broken || !isAnswered || backlog() == 0) {
        close(CloseCause::CallerLeft);
        return;
    }
    // A caller may have closed its sending side only, and still take the answer.
    m_closeWhenWritten = true;
    await(Wait::AnswerTaken);
}

void CallerConnection::answerSent()
{
    if (!m_closeWhenWritten) {
        await(Wait::Request);
        return;
    }
    if (m_callerEnded) {
        close(CloseCause::CallerLeft);
        return;
    }
    // Closing with unread bytes would reset the connection and could destroy the answer on its way.
    shutdown(bufferevent_getfd(m_bufferEvent.get()), SHUT_WR);
    m_drainUntil = base::monotonicNow() + m_bounds.bodyTimeout;
    m_drained = false;
    await(Wait::CallerEnd);
}

void CallerConnection::readMore()
{
    if (m_closeWhenWritten) {
        auto *input = bufferevent_get_input(m_bufferEvent.get());
        evbuffer_drain(input, evbuffer_get_length(input));
        m_drained = true;
        return;
    }
    const bool mustWait = m_answering || isBehind();
    if (mustWait && !m_read.resize(m_requestBytes + unreadBytes())) {
        // The answer under way goes on; what follows stays with the caller.
        pauseReading(true);
    }
    if (!mustWait && !m_closed) {
        parse();
    }
}

bool CallerConnection::isBehind() const
{
    return backlog() > mostUntakenBytes;
}

void CallerConnection::readNextRequest()
{
    if (!m_closed && !m_closeWhenWritten && !isBehind() && unreadBytes() > 0) {
        bufferevent_trigger(m_bufferEvent.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void CallerConnection::collectBody(std::string_view bytes)
{
    if (m_bounds.keepsBodies) {
        m_body.append(bytes, m_bounds.maxBodyBytes);
    } else {
        m_body.drop(bytes.size(), m_bounds.maxBodyBytes);
    }
}

bool CallerConnection::countRequest()
{
    m_requestBytes = m_parser.untouched() ? 0 : requestSize(m_parser.request(), m_parser.headBytes());
    return m_read.resize(m_requestBytes);
}

void CallerConnection::pauseReading(bool paused)
{
    if (std::exchange(m_readingPaused, paused) == paused || m_closed) {
        return;
    }
    if (paused) {
        bufferevent_disable(m_bufferEvent.get(), EV_READ);
        // Only reading tells that the caller has left.
        m_readAgain.startOnce(readAgainInterval);
    } else {
        bufferevent_enable(m_bufferEvent.get(), EV_READ);
    }
}

void CallerConnection::parse()
{
    m_bounds = m_parser.untouched() ? m_boundsSource() : widest(m_bounds, m_boundsSource());
    m_parser.setMaxHeadBytes(m_bounds.maxHeadBytes);
    auto *input = bufferevent_get_input(m_bufferEvent.get());
    while (m_body.refusal() == BodyRefusal::None
           && (m_parser.state() == ParseState::Head || m_parser.state() == ParseState::Body)) {
        const auto contiguous = evbuffer_get_contiguous_space(input);
        if (contiguous == 0) {
            break;
        }
        const bool fresh = m_parser.untouched();
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
        const auto used = m_parser.feed({bytes, contiguous});
        evbuffer_drain(input, used);
        if (fresh && !m_parser.untouched()) {
            m_requestBegan = base::monotonicNow();
            await(Wait::Head);
        }
    }
    if (m_parser.state() == ParseState::Malformed) {
        refuse(m_parser.headTooLong() ? http::status::headTooLarge : http::status::badRequest);
        return;
    }
    if (m_body.refusal() != BodyRefusal::None) {
        evbuffer_drain(input, evbuffer_get_length(input));
        refuseBody();
        return;
    }
    if (!countRequest()) {
        refuse(http::status::unavailable);
        return;
    }
    if (m_parser.state() == ParseState::Complete) {
        requestDone();
        return;
    }
    if (m_parser.state() == ParseState::Body) {
        await(Wait::Body);
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
    m_framing.reset(m_parser.request().method == "HEAD", m_parser.isHttp10());
    m_closeAfter = !m_parser.keepsAlive();
    m_continueSent = false;
    Request request{m_parser.takeRequest(), m_body.take()};
    splitTarget(request.head);
    m_parser.reset();
    m_handlers.onRequest(*this, std::move(request));
}

void CallerConnection::expectBody()
{
    if (m_bounds.keepsBodies) {
        m_body.expect(contentLength(m_parser.request().headers).value_or(0), m_bounds.maxBodyBytes);
    }
}

void CallerConnection::refuseBody()
{
    refuse(m_body.refusal() == BodyRefusal::NoMemory ? http::status::unavailable : http::status::bodyTooLarge);
}

void CallerConnection::refuse(int status)
{
    m_body.reset();
    m_read.resize(0);
    HeaderList headers;
    if (status == http::status::unavailable) {
        headers.add("Retry-After", retryAfterNoMemory);
    }
    headers.add("Connection", "close");
    headers.add("Content-Length", "0");
    write(serializeResponseHead(status, headers) + "\r\n");
    m_end.stage = stage();
    m_end.refusedWith = status;
    // What the caller still sends is not read as requests.
    m_closeWhenWritten = true;
    await(Wait::AnswerTaken);
}

void CallerConnection::write(std::string_view bytes)
{
    if (!m_closed) {
        bufferevent_write(m_bufferEvent.get(), bytes.data(), bytes.size());
    }
}

void CallerConnection::writeBody(const Body &body)
{
    if (!m_closed) {
        body.appendTo(bufferevent_get_output(m_bufferEvent.get()));
    }
}

void CallerConnection::countBacklog()
{
    m_backlogFits = m_unsent.resize(backlog());
}

void CallerConnection::sendAnswer(int status, const HeaderList &headers, std::string_view body, bool closeAfter)
{
    sendHeldAnswer(status, headers, std::string(body), closeAfter);
}

void CallerConnection::sendHeldAnswer(int status, const HeaderList &headers, const Body &body, bool closeAfter)
{
    beginStream(status, headers, closeAfter, body.size());
    sendHeldPiece(body);
    endStream();
}

void CallerConnection::beginStream(int status,
                                   const HeaderList &headers,
                                   bool closeAfter,
                                   std::optional<std::size_t> length)
{
    m_framing.begin(status, length);
    m_closeAfter = m_closeAfter || m_framing.endsWithConnection() || (closeAfter && !hasNextRequest());
    write(serializeResponseHead(status, headers) + m_framing.headerLines(m_closeAfter));
}

template<typename WriteBytes>
void CallerConnection::writePiece(std::size_t bytes, const WriteBytes &writeBytes)
{
    // An empty chunk would end the answer.
    if (bytes == 0 || !m_framing.hasBody()) {
        return;
    }
    write(m_framing.beforePiece(bytes));
    writeBytes();
    write(m_framing.afterPiece());
}

void CallerConnection::sendPiece(std::string_view bytes)
{
    writePiece(bytes.size(), [&] { write(bytes); });
    countBacklog();
}

void CallerConnection::sendHeldPiece(const Body &piece)
{
    writePiece(piece.size(), [&] { writeBody(piece); });
}

void CallerConnection::endStream()
{
    write(m_framing.afterBody());
    answerDone(m_closeAfter);
}

void CallerConnection::answerDone(bool closeAfter)
{
    m_answering = false;
    m_requestBytes = 0;
    m_read.resize(0);
    pauseReading(false);
    m_closeWhenWritten = closeAfter;
    if (backlog() == 0) {
        // The end of this answer takes no bytes, and all others are sent: no write will tell.
        answerSent();
    } else {
        await(Wait::AnswerTaken);
    }
    readNextRequest();
}

void CallerConnection::abort()
{
    m_end.stage = stage();
    m_answering = false;
    close(CloseCause::BrokenOff);
}

bool CallerConnection::mayCloseIdle(CloseCause cause) const
{
    // A caller that has its last answer keeps the connection from others only.
    const bool isEnded = m_wait == Wait::CallerEnd && cause == CloseCause::RoomNeeded;
    const bool isUnused = (m_wait == Wait::Request || isEnded) && idle() && !hasBytesToRead();
    return isUnused && base::monotonicNow() - m_waitBegan >= firstByteTime;
}

void CallerConnection::closeIfIdle(CloseCause cause)
{
    if (mayCloseIdle(cause)) {
        close(cause);
    }
}

base::Duration CallerConnection::unfinishedFor(base::TimePoint now) const
{
    const bool isUnfinished = !m_answering && !m_closeWhenWritten && !m_parser.untouched();
    return isUnfinished ? now - m_requestBegan : base::Duration::zero();
}

void CallerConnection::refuseUnfinished()
{
    if (!m_answering && !m_closeWhenWritten && !m_parser.untouched()) {
        refuse(http::status::unavailable);
    }
}

void CallerConnection::onTimeout()
{
    m_bounds = widest(m_bounds, m_boundsSource());
    const auto left = m_waitBegan + waitBound() - base::monotonicNow();
    if (left > base::Duration::zero()) {
        // The bound has been raised since the wait began.
        m_timer.startOnce(left);
        return;
    }
    switch (m_wait) {
    case Wait::Head:
    case Wait::Body:
        if (hasBytesToRead()) {
            m_timer.startOnce(LateBytes::checkInterval);
        } else {
            refuse(http::status::requestTimeout);
        }
        return;
    case Wait::Request:
        if (hasBytesToRead()) {
            await(Wait::Request);
        } else {
            close(CloseCause::Idle);
        }
        return;
    case Wait::AnswerTaken:
        if (backlog() < m_lastBacklog || takesBytes()) {
            await(Wait::AnswerTaken);
        } else {
            close(CloseCause::NotTaken);
        }
        return;
    case Wait::CallerEnd:
        if (std::exchange(m_drained, false) && base::monotonicNow() < m_drainUntil) {
            await(Wait::CallerEnd);
        } else {
            close(CloseCause::Answered);
        }
        return;
    }
}

void CallerConnection::resetOnClose()
{
    // An orderly end would make the answer look whole.
    const linger now{1, 0};
    setsockopt(bufferevent_getfd(m_bufferEvent.get()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void CallerConnection::close(CloseCause cause)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.stop();
    m_readAgain.stop();
    m_end.cause = cause;
    m_end.unsent = backlog();
    if (m_framing.endsWithConnection() && (cause == CloseCause::BrokenOff || m_end.unsent > 0)) {
        resetOnClose();
    }
    if (m_end.refusedWith != 0) {
        m_end.cause = CloseCause::Refused;
    } else if (m_closeWhenWritten && m_end.unsent == 0 && !m_callerEnded) {
        m_end.cause = CloseCause::Answered;
    }
    if (m_end.stage == ConnectionStage::Unused) {
        m_end.stage = stage();
    }
    bufferevent_disable(m_bufferEvent.get(), EV_READ | EV_WRITE);
    m_handlers.onClosed(*this);
}

} // namespace ibisfork::http
