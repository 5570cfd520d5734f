#include "unusualconnection.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <fmt/format.h>

extern "C" {
#include <event2/buffer.h>
#include <event2/bufferevent.h>
}

#include "http/status.h"
#include "unusualengine.h"
#include "unusualtext.h"

namespace ibisfork::soak {

namespace {

constexpr std::chrono::milliseconds shortWork{60};
/// Requests with long bodies are held for so long.
constexpr std::chrono::milliseconds longWork{600};
constexpr std::size_t longRequest = 50000;
constexpr std::chrono::milliseconds longestIdle{80};
constexpr std::chrono::milliseconds takenInterval{10};
constexpr unsigned interimOneIn = 3;
constexpr unsigned earlyOneIn = 4;
constexpr unsigned closeOneIn = 6;
constexpr unsigned lengthlessOneIn = 6;
constexpr std::size_t headEnd = 4;

std::string valueOf(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + headEnd;
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace

UnusualConnection::UnusualConnection(event_base *base,
                                     evutil_socket_t socket,
                                     UnusualEngine &engine,
                                     std::uint64_t seed)
    : m_engine(engine)
    , m_random(seed)
    , m_bufferEvent(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_work(base, [this] { answer(); })
    , m_close(base, [this] { closeIfIdle(); })
    , m_taken(base, [this] { checkTaken(); })
{
    bufferevent_setcb(m_bufferEvent.get(), &onRead, nullptr, &onEvent, this);
    bufferevent_enable(m_bufferEvent.get(), EV_READ | EV_WRITE);
}

UnusualConnection::~UnusualConnection()
{
    if (m_request && m_request->running) {
        m_engine.stopped(m_request->id);
    }
}

void UnusualConnection::onRead(bufferevent *, void *self)
{
    static_cast<UnusualConnection *>(self)->readMore();
}

void UnusualConnection::onEvent(bufferevent *, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<UnusualConnection *>(self)->close();
    }
}

void UnusualConnection::readMore()
{
    bool goesOn = !m_closed;
    while (goesOn) {
        goesOn = m_request ? readBody() : readHead();
    }
}

bool UnusualConnection::readHead()
{
    auto *input = bufferevent_get_input(m_bufferEvent.get());
    const auto found = evbuffer_search(input, "\r\n\r\n", headEnd, nullptr);
    if (found.pos < 0) {
        return false;
    }
    std::string head(static_cast<std::size_t>(found.pos) + 2, '\0');
    evbuffer_remove(input, head.data(), head.size());
    evbuffer_drain(input, 2);
    takeHead(head);
    return !m_closed;
}

void UnusualConnection::takeHead(const std::string &head)
{
    if (!head.starts_with("POST /") && !head.starts_with("GET /")) {
        m_engine.broken("got other bytes where a request is due: " + head.substr(0, head.find('\r')));
        close();
        return;
    }
    m_close.stop();
    checkTaken();
    m_request = std::make_unique<Request>();
    const auto from = head.find(' ') + 1;
    m_request->target = head.substr(from, head.find(' ', from) - from);
    m_request->id = valueOf(head, "Ibisfork-Attempt-Id");
    m_request->expected = valueOf(head, "Ibisfork-Expect-Instance");
    const auto length = valueOf(head, "Content-Length");
    m_request->length = length.empty() ? 0 : std::stoul(length);
    if (m_request->length > longRequest && sometimes(earlyOneIn)) {
        run();
        answer();
    }
    if (m_request && m_request->length == 0) {
        bodyRead();
    }
}

bool UnusualConnection::readBody()
{
    auto &request = *m_request;
    auto *input = bufferevent_get_input(m_bufferEvent.get());
    const auto count = std::min(evbuffer_get_contiguous_space(input), request.length - request.read);
    if (count == 0) {
        return false;
    }
    std::string part(count, '\0');
    evbuffer_remove(input, part.data(), count);
    const bool isLong = request.length > longRequest;
    if (isLong && !isPartOfLongText(request.id, request.read, part)) {
        m_engine.broken(fmt::format("{} got other bytes in its body at {}", request.id, request.read));
    }
    request.read += count;
    if (request.read == request.length) {
        bodyRead();
    }
    return !m_closed;
}

void UnusualConnection::bodyRead()
{
    if (m_request->answered) {
        finish();
        return;
    }
    if (m_request->target == healthPath) {
        answer();
        return;
    }
    if (!m_request->expected.empty() && m_request->expected != m_engine.identity().id) {
        write(answerHead(http::status::misdirected) + "Ibisfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        finish();
        return;
    }
    run();
    if (sometimes(interimOneIn)) {
        write("HTTP/1.1 103 Early Hints\r\nLink: </hint>\r\n\r\n");
    }
    m_work.startOnce(m_request->length > longRequest ? longWork : shortWork);
}

void UnusualConnection::run()
{
    m_request->running = true;
    m_engine.ran(m_request->id);
}

std::string UnusualConnection::answerHead(int status) const
{
    return fmt::format("HTTP/1.1 {} Status\r\nIbisfork-Instance-Id: {}\r\nIbisfork-Attempt-Id: {}\r\n"
                       "Ibisfork-Response-Seal: seal of {}\r\n",
                       status,
                       m_engine.identity().id,
                       m_request->id,
                       m_request->id);
}

void UnusualConnection::answer()
{
    auto &request = *m_request;
    const bool isLong = request.target.starts_with(longAnswerPath);
    const auto body = isLong ? longText(request.id, longAnswerBytes(request.id)) : plainBody(request.id);
    const bool hasLength = !request.running || !sometimes(lengthlessOneIn);
    const auto framing = hasLength ? fmt::format("Content-Length: {}\r\n\r\n", body.size())
                                   : fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", body.size());
    if (request.running) {
        m_untaken = {request.id, base::monotonicNow(), takenBytes()};
        m_taken.startOnce(takenInterval);
    }
    write(answerHead(http::status::ok) + framing + body + (hasLength ? "" : "\r\n0\r\n\r\n"));
    request.answered = true;
    if (std::exchange(request.running, false)) {
        m_engine.stopped(request.id);
    }
    if (request.read == request.length) {
        finish();
    }
}

void UnusualConnection::checkTaken()
{
    if (!m_untaken) {
        return;
    }
    if (takenBytes() > m_untaken->takenBefore) {
        m_engine.answered(m_untaken->id, m_untaken->sentAt);
        m_untaken.reset();
    } else if (!m_closed) {
        m_taken.startOnce(takenInterval);
    }
}

std::uint64_t UnusualConnection::takenBytes() const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    getsockopt(bufferevent_getfd(m_bufferEvent.get()), IPPROTO_TCP, TCP_INFO, &info, &size);
    return info.tcpi_bytes_acked;
}

void UnusualConnection::finish()
{
    m_request.reset();
    if (sometimes(closeOneIn)) {
        m_close.startOnce(std::chrono::milliseconds(m_random() % longestIdle.count()));
    }
    bufferevent_trigger(m_bufferEvent.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void UnusualConnection::closeIfIdle()
{
    const bool isSent = evbuffer_get_length(bufferevent_get_output(m_bufferEvent.get())) == 0;
    if (!m_request && isSent) {
        close();
    }
}

void UnusualConnection::close()
{
    if (!std::exchange(m_closed, true)) {
        m_work.stop();
        m_close.stop();
        m_taken.stop();
        checkTaken();
        bufferevent_disable(m_bufferEvent.get(), EV_READ | EV_WRITE);
        m_engine.closed(*this);
    }
}

void UnusualConnection::write(const std::string &text)
{
    bufferevent_write(m_bufferEvent.get(), text.data(), text.size());
}

bool UnusualConnection::sometimes(unsigned count)
{
    return m_engine.unusual() && m_random() % count == 0;
}

} // namespace ibisfork::soak
