#include "standins.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "net/deletelater.h"

namespace ibisfork::gateway::test {

namespace {

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string events(int from, int to)
{
    std::string out;
    for (int i = from; i <= to; ++i) {
        out += chunk(fmt::format("id: {}\ndata: t{}\n\n", i, i));
    }
    return out;
}

constexpr const char *streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nIbisfork-Attempt-Id: ID\r\n"
                                   "Ibisfork-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

LoopTest::LoopTest()
    : m_base(net::makeEventBase())
{ }

bool LoopTest::until(const std::function<bool()> &condition, base::Duration within)
{
    constexpr std::chrono::milliseconds step{2};
    const auto end = base::monotonicNow() + within;
    while (!condition()) {
        if (base::monotonicNow() > end) {
            return false;
        }
        runFor(step);
    }
    return true;
}

void LoopTest::runFor(base::Duration time)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    const timeval delay{microseconds / 1000000, microseconds % 1000000};
    event_base_loopexit(m_base.get(), &delay);
    event_base_dispatch(m_base.get());
}

EngineReply plainReply(int status, const std::string &body, const std::string &moreHeaders)
{
    return {fmt::format("HTTP/1.1 {} X\r\nIbisfork-Attempt-Id: ID\r\n{}Content-Length: {}\r\n\r\n{}",
                        status,
                        moreHeaders,
                        body.size(),
                        body)};
}

EngineReply refusal(int status)
{
    return plainReply(status, "", "Ibisfork-Not-Executed: 1\r\n");
}

EngineReply streamReply(int from, int to)
{
    return {streamHead + events(from, to) + "0\r\n\r\n"};
}

EngineReply brokenStream(int from, int to)
{
    return {streamHead + events(from, to) + chunk(fmt::format("id: {}\nda", to + 1)), true};
}

EngineReply pausingStream(int from, int last, int to, std::chrono::milliseconds pause)
{
    EngineReply reply{streamHead + events(from, last)};
    reply.rest = events(last + 1, to) + "0\r\n\r\n";
    reply.pause = pause;
    return reply;
}

EngineReply withHeader(EngineReply reply, const std::string &field)
{
    reply.bytes.insert(reply.bytes.find("\r\n") + 2, field + "\r\n");
    return reply;
}

EngineReply reservationReply(const std::string &reservation)
{
    return plainReply(200, nlohmann::json{{"reserve", reservation}}.dump());
}

std::string streamBody(int from, int to)
{
    std::string out;
    for (int i = from; i <= to; ++i) {
        out += fmt::format("id: {}\ndata: t{}\n\n", i, i);
    }
    return out;
}

nlohmann::json engineEntry(const net::Address &address)
{
    return {{"service", "s"},
            {"address", address.text()},
            {"zone", "d1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", 1}};
}

class FakeEngine::Connection
{
public:
    Connection(FakeEngine &engine, evutil_socket_t socket)
        : m_engine(engine)
        , m_socket(socket)
        , m_events(bufferevent_socket_new(engine.m_base, socket, BEV_OPT_CLOSE_ON_FREE))
        , m_parser(http::MessageKind::Request, 65536, [this](std::string_view bytes) { m_body += bytes; })
        , m_delay(engine.m_base, [this] { write(); })
    {
        bufferevent_setcb(m_events, &onRead, &onWritten, &onEvent, this);
        bufferevent_enable(m_events, EV_READ | EV_WRITE);
    }

    ~Connection() { bufferevent_free(m_events); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

private:
    static void onRead(bufferevent *, void *self) { static_cast<Connection *>(self)->read(); }

    static void onWritten(bufferevent *, void *self)
    {
        auto &connection = *static_cast<Connection *>(self);
        const bool isLast = connection.m_reply.bytes.empty();
        if (isLast && (connection.m_reply.close || connection.m_reply.reset)) {
            connection.end();
        }
    }

    static void onEvent(bufferevent *, short what, void *self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<Connection *>(self)->drop();
        }
    }

    void read()
    {
        auto *input = bufferevent_get_input(m_events);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        std::string_view rest = bytes;
        while (!rest.empty() && m_parser.state() != http::ParseState::Malformed) {
            rest.remove_prefix(m_parser.feed(rest));
            if (m_parser.state() == http::ParseState::Complete) {
                reply();
            }
        }
    }

    void reply()
    {
        const http::Request request{m_parser.takeRequest(), std::move(m_body)};
        m_body.clear();
        m_parser.reset();
        m_reply = m_engine.nextReply(request);
        if (m_reply.delay.count() > 0) {
            m_delay.startOnce(m_reply.delay);
        } else {
            write();
        }
    }

    void write()
    {
        if (!m_reply.bytes.empty()) {
            bufferevent_write(m_events, m_reply.bytes.data(), m_reply.bytes.size());
            takeRest();
            if (!m_reply.bytes.empty()) {
                m_delay.startOnce(m_reply.pause);
            }
        } else if (m_reply.close || m_reply.reset) {
            end();
        }
    }

    void takeRest()
    {
        const auto size
            = m_reply.isRestByteByByte ? std::min<std::size_t>(1, m_reply.rest.size()) : m_reply.rest.size();
        m_reply.bytes = m_reply.rest.substr(0, size);
        m_reply.rest.erase(0, size);
    }

    void end()
    {
        if (m_reply.reset) {
            const linger now{1, 0};
            setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        drop();
    }

    void drop()
    {
        const auto found = m_engine.m_connections.find(this);
        if (found != m_engine.m_connections.end()) {
            net::deleteLater(m_engine.m_base, std::move(found->second));
            m_engine.m_connections.erase(found);
        }
    }

    FakeEngine &m_engine;
    evutil_socket_t m_socket;
    bufferevent *m_events;
    http::MessageParser m_parser;
    std::string m_body;
    EngineReply m_reply;
    net::Timer m_delay;
};

std::uint64_t storeCalls(base::MetricsRegistry &metrics, StoreCallCause cause)
{
    const std::string name(base::nameOf(storeCallCauseNames, cause));
    return metrics.counter("ibisfork_store_calls_total", {{"cause", name}}).value();
}

std::uint64_t storeCalls(base::MetricsRegistry &metrics)
{
    std::uint64_t calls = 0;
    for (const auto &cause : storeCallCauseNames) {
        calls += storeCalls(metrics, cause.value);
    }
    return calls;
}

FakeEngine::FakeEngine(event_base *base)
    : m_base(base)
{
    listen({"127.0.0.1", 0});
    m_address = m_port->address();
}

FakeEngine::~FakeEngine() = default;

void FakeEngine::crash()
{
    refuseConnections();
    m_connections.clear();
}

void FakeEngine::acceptConnections()
{
    m_refusingPort.reset();
    listen(m_address);
}

void FakeEngine::listen(const net::Address &address)
{
    m_port = std::make_unique<ListeningPort>(m_base, address, [this](evutil_socket_t socket) { accept(socket); });
}

void FakeEngine::accept(evutil_socket_t socket)
{
    auto connection = std::make_unique<Connection>(*this, socket);
    m_connections.emplace(connection.get(), std::move(connection));
}

EngineReply FakeEngine::nextReply(const http::Request &request)
{
    if (request.head.target == "/ibisfork/hold-take") {
        ++m_reservationCalls;
        return m_reservationReply.value_or(plainReply(503, ""));
    }
    m_requests.push_back(request);
    EngineReply reply;
    if (m_decide) {
        reply = m_decide(request);
    } else if (m_resumeReply && request.head.headers.find("Last-Event-Id")) {
        reply = *m_resumeReply;
    } else if (!m_replies.empty()) {
        reply = m_replies.front();
        if (m_replies.size() > 1) {
            m_replies.pop_front();
        }
    }
    const std::string id(request.head.headers.find("Ibisfork-Attempt-Id").value_or(""));
    for (auto at = reply.bytes.find("Id: ID"); at != std::string::npos; at = reply.bytes.find("Id: ID")) {
        reply.bytes.replace(at, 6, "Id: " + id);
    }
    return reply;
}

FakeCaller::FakeCaller(event_base *base, const net::Address &address)
    : m_base(base)
    , m_connection(std::make_unique<http::UpstreamConnection>(base, address))
{ }

void FakeCaller::send(const std::string &bytes)
{
    m_answer = {};
    http::UpstreamConnection::Handlers handlers;
    handlers.onHead = [this](const http::ResponseHead &head) {
        m_answer.status = head.status;
        m_answer.headers = head.headers;
    };
    handlers.onBody = [this](std::string_view part) {
        m_answer.body += part;
    };
    handlers.onComplete = [this] {
        m_answer.complete = true;
    };
    handlers.onFailure = [this](http::ConnectionFailure) {
        m_answer.broken = true;
    };
    m_connection->send(bytes, false, std::move(handlers));
}

void FakeCaller::leave()
{
    m_connection->abandon();
    net::deleteLater(m_base, std::move(m_connection));
}

} // namespace ibisfork::gateway::test
