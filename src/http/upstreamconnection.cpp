#include "http/upstreamconnection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "net/guard.h"

namespace ibisfork::http {

namespace {

constexpr std::size_t maxHeadBytes = 64UL * 1024;

sockaddr_in socketAddress(const net::Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/// True for errors of this machine, which say nothing of the one that was to be connected to.
bool isLackOfSockets(int error)
{
    constexpr std::array lacking{EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL};
    return std::find(lacking.begin(), lacking.end(), error) != lacking.end();
}

/// True if the other end's kernel has not taken all that was written to @p socket.
bool hasUntaken(evutil_socket_t socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

std::optional<std::chrono::seconds> idleAllowedBy(const HeaderList &headers)
{
    constexpr std::string_view key = "timeout=";
    const auto value = headers.find("Keep-Alive");
    const auto at = value ? value->find(key) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value->substr(at + key.size());
    int seconds = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

UpstreamConnection::UpstreamConnection(event_base *base, const net::Address &address)
    : m_bufferEvent(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(
          MessageKind::Response,
          maxHeadBytes,
          [this](std::string_view bytes) {
              if (!m_abandoned) {
                  m_handlers.onBody(bytes);
              }
          },
          [this] {
              if (!m_abandoned) {
                  m_handlers.onHead(m_parser.response());
              }
          })
{
    bufferevent_setcb(m_bufferEvent.get(), &onRead, nullptr, &onEvent, this);
    bufferevent_enable(m_bufferEvent.get(), EV_READ | EV_WRITE);
    const auto target = socketAddress(address);
    const auto result
        = bufferevent_socket_connect(m_bufferEvent.get(), reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (result != 0) {
        m_lacksSocket = isLackOfSockets(errno);
        m_broken = true;
    }
}

void UpstreamConnection::send(std::string bytes, bool bodyless, Handlers handlers)
{
    send(std::move(bytes), Body(), bodyless, std::move(handlers));
}

void UpstreamConnection::send(std::string head, Body body, bool bodyless, Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_parser.reset(bodyless);
    m_pending = std::move(head);
    m_pendingBody = std::move(body);
    m_busy = true;
    m_writeFailed = false;
    if (m_broken) {
        fail(failure());
        return;
    }
    if (m_connected) {
        writePending();
    }
}

void UpstreamConnection::abandon()
{
    m_abandoned = true;
    m_broken = true;
    bufferevent_disable(m_bufferEvent.get(), EV_READ | EV_WRITE);
}

void UpstreamConnection::writePending()
{
    if (!m_pending.empty()) {
        m_sent = true;
        bufferevent_write(m_bufferEvent.get(), m_pending.data(), m_pending.size());
        m_pending = {};
        std::exchange(m_pendingBody, {}).appendTo(bufferevent_get_output(m_bufferEvent.get()));
    }
}

bool UpstreamConnection::reusable() const
{
    const auto unread = evbuffer_get_length(bufferevent_get_input(m_bufferEvent.get()));
    const auto unwritten = evbuffer_get_length(bufferevent_get_output(m_bufferEvent.get()));
    return m_connected && !m_broken && !m_busy && unread == 0 && unwritten == 0;
}

bool UpstreamConnection::hasUnread() const
{
    const short awaited = m_connected ? POLLIN : POLLOUT;
    pollfd socket{bufferevent_getfd(m_bufferEvent.get()), awaited, 0};
    return !m_abandoned && poll(&socket, 1, 0) > 0;
}

void UpstreamConnection::pauseReading(bool paused)
{
    if (paused) {
        bufferevent_disable(m_bufferEvent.get(), EV_READ);
    } else if (!m_abandoned) {
        bufferevent_enable(m_bufferEvent.get(), EV_READ);
    }
}

template<typename Callback>
void UpstreamConnection::runGuarded(const Callback &callback)
{
    if (net::runGuarded("upstream", callback)) {
        return;
    }
    // The same bytes must not be read again.
    m_broken = true;
    if (m_busy) {
        net::runGuarded("upstream", [this] { fail(ConnectionFailure::Lost); });
    }
}

void UpstreamConnection::onRead(bufferevent *, void *self)
{
    auto &connection = *static_cast<UpstreamConnection *>(self);
    connection.runGuarded([&] { connection.readMore(); });
}

void UpstreamConnection::readMore()
{
    if (!m_busy) {
        // Bytes that belong to no request; the connection is of no further use.
        m_broken = true;
        return;
    }
    auto *input = bufferevent_get_input(m_bufferEvent.get());
    while (!m_abandoned && m_parser.state() != ParseState::Complete && m_parser.state() != ParseState::Malformed) {
        const auto contiguous = evbuffer_get_contiguous_space(input);
        if (contiguous == 0) {
            break;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
        const std::string copy(bytes, contiguous);
        evbuffer_drain(input, m_parser.feed(copy));
    }
    if (m_abandoned) {
        return;
    }
    if (m_parser.state() == ParseState::Malformed) {
        fail(ConnectionFailure::Malformed);
    } else if (m_parser.state() == ParseState::Complete) {
        complete();
    }
}

void UpstreamConnection::complete()
{
    const auto unread = evbuffer_get_length(bufferevent_get_input(m_bufferEvent.get()));
    // An answer that came early may leave the rest of its request unread, and the next request would wait behind it.
    const bool isEarly = hasUntaken(bufferevent_getfd(m_bufferEvent.get()));
    if (unread > 0 || isEarly || !m_parser.keepsAlive()) {
        m_broken = true;
    }
    m_idleAllowed = idleAllowedBy(m_parser.response().headers);
    m_busy = false;
    // The next request must be able to read its answer, and an idle connection its end.
    pauseReading(false);
    const auto onComplete = m_handlers.onComplete;
    onComplete();
}

ConnectionFailure UpstreamConnection::failure() const
{
    if (m_connected) {
        return ConnectionFailure::Lost;
    }
    return m_lacksSocket ? ConnectionFailure::NoSocket : ConnectionFailure::Connect;
}

void UpstreamConnection::fail(ConnectionFailure failure)
{
    m_broken = true;
    m_busy = false;
    const auto onFailure = m_handlers.onFailure;
    if (!m_abandoned) {
        onFailure(failure);
    }
}

void UpstreamConnection::onEvent(bufferevent *, short what, void *self)
{
    auto &connection = *static_cast<UpstreamConnection *>(self);
    connection.runGuarded([&] { connection.handleEvent(what); });
}

void UpstreamConnection::handleEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        const int on = 1;
        const auto socket = bufferevent_getfd(m_bufferEvent.get());
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_connected = true;
        m_connectedAt = base::monotonicNow();
        writePending();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    m_broken = true;
    if (m_connected && (what & BEV_EVENT_WRITING) != 0) {
        // The other end takes no more of the request. It may have answered before; reading tells.
        m_writeFailed = true;
        return;
    }
    const bool cleanEnd = (what & BEV_EVENT_EOF) != 0 && !m_writeFailed;
    if (!m_busy || m_abandoned) {
        return;
    }
    if (cleanEnd && m_parser.lengthUnknown()) {
        m_parser.finish();
        if (m_parser.state() == ParseState::Complete) {
            complete();
            return;
        }
    }
    fail(failure());
}

} // namespace ibisfork::http
