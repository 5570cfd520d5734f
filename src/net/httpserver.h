#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/address.h"
#include "net/httpmessage.h"
#include "net/libevent.h"
#include "net/tlscontext.h"

namespace ibisfork::net {

/// The answer to one request of a caller. Exactly one of send(), end() and abort() finishes it.
class HttpReply
{
public:
    /// @p unflushed counts replies whose last byte has not yet been written.
    HttpReply(evhttp_request *request, std::shared_ptr<std::size_t> unflushed);
    ~HttpReply();
    HttpReply(const HttpReply &) = delete;
    HttpReply &operator=(const HttpReply &) = delete;

    /// Called once if the caller goes away before the answer is finished.
    void onGone(std::function<void()> callback);

    /// A whole answer.
    void send(int status, const HttpHeaders &headers, const std::string &body);
    /// An answer in pieces: start, any number of chunks, end.
    void start(int status, const HttpHeaders &headers);
    void chunk(std::string_view bytes);
    void end();
    /// Cuts the connection, so that a part is not taken for the whole.
    void abort();

    /// Whether the caller went away before the answer was finished.
    bool gone() const { return m_gone; }
    bool started() const { return m_started; }
    bool finished() const { return m_request == nullptr; }
    /// Bytes that wait to be written to the caller.
    std::size_t bufferedBytes() const;

private:
    struct Flush;

    static void onClose(evhttp_connection *, void *self);
    static void onEarlyClose(evutil_socket_t, short, void *self);
    void watch();
    void unwatch();
    void recordGone();
    void addHeaders(const HttpHeaders &headers);
    evhttp_request *releaseRequest();

    evhttp_request *m_request;
    std::shared_ptr<std::size_t> m_unflushed;
    EventPtr m_closed;
    std::function<void()> m_onGone;
    bool m_started = false;
    bool m_gone = false;
    bool m_disconnected = false;
};

/// One request of a caller, read whole.
struct HttpServerRequest
{
    HttpRequest request;
    std::string peer;
    std::shared_ptr<HttpReply> reply;
};

struct HttpServerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    int silenceSeconds = 30;
};

/// Listens and hands each whole request to the handler.
class HttpServer
{
public:
    using Handler = std::function<void(HttpServerRequest)>;

    /// Port 0 takes a free port. Throws NetError if the address can't be had.
    HttpServer(event_base *base, const Address &address, const HttpServerLimits &limits, Handler handler);

    /// The address that it listens on.
    const Address &address() const { return m_address; }
    /// Speaks TLS on connections to come; @p context must outlive the server.
    void useTls(const TlsContext &context);
    /// Takes no more connections; those that are open go on.
    void stopListening();
    /// Requests that are not answered to the last byte.
    std::size_t unflushed() const { return *m_unflushed; }

private:
    static void onRequest(evhttp_request *request, void *self);
    static bufferevent *onAccept(event_base *base, void *context);

    std::shared_ptr<std::size_t> m_unflushed = std::make_shared<std::size_t>(0);
    EvHttpPtr m_server;
    evhttp_bound_socket *m_socket = nullptr;
    Address m_address;
    Handler m_handler;
};

} // namespace ibisfork::net
