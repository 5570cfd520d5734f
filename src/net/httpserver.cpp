#include "net/httpserver.h"

#include <sys/queue.h>

#include <arpa/inet.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <ibisfork/base/log.h>

#include "net/exceptions.h"

namespace ibisfork::net {

using base::LogLevel;
using base::LogLine;

namespace {

constexpr int statusFailed = 500;
constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH
    | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS;

HttpMethod methodOf(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_POST:
        return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
        return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::Delete;
    case EVHTTP_REQ_PATCH:
        return HttpMethod::Patch;
    case EVHTTP_REQ_HEAD:
        return HttpMethod::Head;
    case EVHTTP_REQ_OPTIONS:
        return HttpMethod::Options;
    default:
        return HttpMethod::Get;
    }
}

HttpRequest requestOf(evhttp_request *request)
{
    HttpRequest out;
    out.method = methodOf(evhttp_request_get_command(request));
    out.path = evhttp_request_get_uri(request);
    const auto *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next) {
        out.headers.add(field->key, field->value);
    }
    evbuffer *body = evhttp_request_get_input_buffer(request);
    out.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, out.body.data(), out.body.size());
    return out;
}

Address boundAddress(evhttp_bound_socket *socket, const std::string &ip)
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound), &length);
    return {ip, ntohs(bound.sin_port)};
}

} // namespace

/// Waits until a finished reply is written or its connection is lost.
struct HttpReply::Flush
{
    std::shared_ptr<std::size_t> unflushed;

    static void watch(evhttp_request *request, std::shared_ptr<std::size_t> unflushed)
    {
        auto *flush = new Flush{std::move(unflushed)};
        evhttp_request_set_on_complete_cb(request, &Flush::onWritten, flush);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &Flush::onLost, flush);
    }

    static void onWritten(evhttp_request *request, void *self)
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        finish(self);
    }

    static void onLost(evhttp_connection *, void *self) { finish(self); }

    static void finish(void *self)
    {
        const std::unique_ptr<Flush> flush(static_cast<Flush *>(self));
        --*flush->unflushed;
    }
};

HttpReply::HttpReply(evhttp_request *request, std::shared_ptr<std::size_t> unflushed)
    : m_request(request)
    , m_unflushed(std::move(unflushed))
{
    ++*m_unflushed;
    watch();
}

HttpReply::~HttpReply()
{
    if (m_request != nullptr) {
        abort();
    }
}

void HttpReply::watch()
{
    evhttp_connection *connection = evhttp_request_get_connection(m_request);
    evhttp_connection_set_closecb(connection, &HttpReply::onClose, this);
    // evhttp does not read while an answer is owed, so the end of the connection is watched for beside it.
    bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    m_closed.reset(event_new(
        evhttp_connection_get_base(connection), bufferevent_getfd(bev), EV_CLOSED, &HttpReply::onEarlyClose, this));
    event_add(m_closed.get(), nullptr);
}

void HttpReply::unwatch()
{
    m_closed.reset();
    if (!m_disconnected) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(m_request), nullptr, nullptr);
    }
}

void HttpReply::onGone(std::function<void()> callback)
{
    m_onGone = std::move(callback);
}

void HttpReply::onClose(evhttp_connection *, void *self)
{
    auto *reply = static_cast<HttpReply *>(self);
    reply->m_disconnected = true;
    reply->recordGone();
}

void HttpReply::onEarlyClose(evutil_socket_t, short, void *self)
{
    static_cast<HttpReply *>(self)->recordGone();
}

void HttpReply::recordGone()
{
    m_gone = true;
    m_closed.reset();
    const auto callback = std::exchange(m_onGone, nullptr);
    if (callback) {
        callback();
    }
}

void HttpReply::addHeaders(const HttpHeaders &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(m_request);
    for (const auto &[name, value] : headers.fields()) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

void HttpReply::send(int status, const HttpHeaders &headers, const std::string &body)
{
    if (m_request == nullptr) {
        return;
    }
    addHeaders(headers);
    evhttp_request *request = releaseRequest();
    const EvBufferPtr buffer(evbuffer_new());
    evbuffer_add(buffer.get(), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buffer.get());
}

void HttpReply::start(int status, const HttpHeaders &headers)
{
    if (m_request == nullptr || m_disconnected) {
        return;
    }
    m_started = true;
    addHeaders(headers);
    evhttp_send_reply_start(m_request, status, nullptr);
}

void HttpReply::chunk(std::string_view bytes)
{
    if (m_request == nullptr || m_disconnected) {
        return;
    }
    const EvBufferPtr buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    evhttp_send_reply_chunk(m_request, buffer.get());
}

void HttpReply::end()
{
    if (m_request == nullptr) {
        return;
    }
    evhttp_send_reply_end(releaseRequest());
}

evhttp_request *HttpReply::releaseRequest()
{
    unwatch();
    evhttp_request *request = std::exchange(m_request, nullptr);
    if (m_disconnected) {
        --*m_unflushed;
    } else {
        Flush::watch(request, m_unflushed);
    }
    return request;
}

void HttpReply::abort()
{
    if (m_request == nullptr) {
        return;
    }
    unwatch();
    evhttp_request *request = std::exchange(m_request, nullptr);
    --*m_unflushed;
    if (m_disconnected) {
        // evhttp has let go of the request, so ending it only frees it.
        evhttp_send_reply_end(request);
        return;
    }
    evhttp_connection_free(evhttp_request_get_connection(request));
}

std::size_t HttpReply::bufferedBytes() const
{
    if (m_request == nullptr || m_disconnected) {
        return 0;
    }
    evhttp_connection *connection = evhttp_request_get_connection(m_request);
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

HttpServer::HttpServer(event_base *base, const Address &address, const HttpServerLimits &limits, Handler handler)
    : m_server(evhttp_new(base))
    , m_handler(std::move(handler))
{
    evhttp_set_allowed_methods(m_server.get(), allowedMethods);
    evhttp_set_max_headers_size(m_server.get(), static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(m_server.get(), static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_timeout(m_server.get(), limits.silenceSeconds);
    evhttp_set_gencb(m_server.get(), &HttpServer::onRequest, this);
    m_socket = evhttp_bind_socket_with_handle(m_server.get(), address.ip.c_str(), address.port);
    if (m_socket == nullptr) {
        throw NetError(fmt::format(errormessage::cannotListen, address.text()));
    }
    m_address = boundAddress(m_socket, address.ip);
}

void HttpServer::useTls(const TlsContext &context)
{
    evhttp_set_bevcb(m_server.get(), &HttpServer::onAccept, const_cast<TlsContext *>(&context));
}

bufferevent *HttpServer::onAccept(event_base *base, void *context)
{
    return static_cast<const TlsContext *>(context)->newServerConnection(base);
}

void HttpServer::stopListening()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_server.get(), std::exchange(m_socket, nullptr));
    }
}

void HttpServer::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    HttpServerRequest out;
    out.request = requestOf(request);
    char *peer = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &peer, &port);
    out.peer = peer != nullptr ? fmt::format("{}:{}", peer, port) : "unknown";
    out.reply = std::make_shared<HttpReply>(request, server->m_unflushed);
    const auto reply = out.reply;
    try {
        server->m_handler(std::move(out));
    } catch (const std::exception &error) {
        // Nothing may be thrown through libevent.
        LogLine(LogLevel::Error, "handler-failed").field("error", error.what());
        reply->send(statusFailed, {}, {});
    }
}

} // namespace ibisfork::net
