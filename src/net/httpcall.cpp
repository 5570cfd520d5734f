#include "net/httpcall.h"

#include <cerrno>

#include <sys/queue.h>

#include <event2/keyvalq_struct.h>

#include <ibisfork/base/names.h>

#include "net/connectprobe.h"
#include "net/guard.h"

namespace ibisfork::net {

namespace {

constexpr std::size_t maxFetchBody = 64UL * 1024 * 1024;
constexpr std::size_t maxResponseHeaders = 64UL * 1024;

evhttp_cmd_type commandOf(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return EVHTTP_REQ_GET;
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::Patch:
        return EVHTTP_REQ_PATCH;
    case HttpMethod::Head:
        return EVHTTP_REQ_HEAD;
    case HttpMethod::Options:
        return EVHTTP_REQ_OPTIONS;
    }
    return EVHTTP_REQ_GET;
}

HttpFailureKind failureKindOf(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return HttpFailureKind::Timeout;
    case EVREQ_HTTP_INVALID_HEADER:
        return HttpFailureKind::Malformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return HttpFailureKind::TooLong;
    default:
        return HttpFailureKind::Closed;
    }
}

HttpHead headOf(evhttp_request *request)
{
    HttpHead head;
    head.status = evhttp_request_get_response_code(request);
    const auto *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next) {
        head.headers.add(field->key, field->value);
    }
    return head;
}

timeval timevalOf(base::Duration duration)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return {microseconds / 1000000, microseconds % 1000000};
}

} // namespace

/// Outlives the HttpCall until the loop has left the callbacks of libevent.
struct HttpCall::State
{
    event_base *base = nullptr;
    evhttp_connection *connection = nullptr;
    evhttp_request *request = nullptr;
    HttpCallHandlers handlers;
    HttpHead head;
    HttpFailureKind failure = HttpFailureKind::Connect;
    bool bytesLeft = false;
    bool headSeen = false;
    bool bodyless = false;
    bool finished = false;
    bool abandoned = false;
    /// A handler has failed, so the answer is not all with its owner.
    bool handlerFailed = false;
    bool connectTimedOut = false;
    EventPtr connectTimer;
    Address address;
    base::Duration connectWithin{};
    std::unique_ptr<ConnectProbe> refusedProbe;

    /// Runs a handler of the owner; an exception makes the call fail.
    template<typename Handler>
    void runHandler(const Handler &handler)
    {
        handlerFailed = !runGuarded("call", handler) || handlerFailed;
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *self)
    {
        if (info->n_deleted > 0) {
            auto *state = static_cast<State *>(self);
            state->bytesLeft = true;
            event_del(state->connectTimer.get());
        }
    }

    static void onConnectTimeout(evutil_socket_t, short, void *self)
    {
        auto *state = static_cast<State *>(self);
        if (!state->bytesLeft && !state->finished) {
            state->connectTimedOut = true;
            // A cancelled request is not called back.
            if (state->request != nullptr) {
                evhttp_cancel_request(state->request);
            }
            onDone(nullptr, self);
        }
    }

    static int onHeaders(evhttp_request *request, void *self)
    {
        auto *state = static_cast<State *>(self);
        state->head = headOf(request);
        state->headSeen = true;
        if (!state->abandoned && state->handlers.head) {
            state->runHandler([&] { state->handlers.head(state->head); });
        }
        return 0;
    }

    static void onChunk(evhttp_request *request, void *self)
    {
        auto *state = static_cast<State *>(self);
        evbuffer *input = evhttp_request_get_input_buffer(request);
        const std::size_t length = evbuffer_get_length(input);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        if (!state->abandoned && state->handlers.chunk && length > 0) {
            const std::string copy(bytes, length);
            evbuffer_drain(input, length);
            state->runHandler([&] { state->handlers.chunk(copy); });
            return;
        }
        evbuffer_drain(input, length);
    }

    static void onError(evhttp_request_error error, void *self)
    {
        static_cast<State *>(self)->failure = failureKindOf(error);
    }

    static void onDone(evhttp_request *request, void *self)
    {
        runGuarded("call", [&] { end(request, static_cast<State *>(self)); });
    }

    static void end(evhttp_request *request, State *state)
    {
        if (std::exchange(state->finished, true)) {
            return;
        }
        event_del(state->connectTimer.get());
        if (state->abandoned || !state->handlers.done) {
            return;
        }
        const auto done = state->handlers.done;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            if (state->bytesLeft || state->connectTimedOut) {
                done(HttpFailure{state->failureKind(), state->bytesLeft});
            } else {
                state->findWhetherRefused();
            }
            return;
        }
        if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) > 0) {
            onChunk(request, state);
        }
        if (!state->abandoned) {
            done(state->isWhole() ? HttpOutcome(state->head) : HttpFailure{HttpFailureKind::Closed, state->bytesLeft});
        }
    }

    /// A failure before any byte left is one of the connect, whatever libevent calls it.
    HttpFailureKind failureKind() const { return bytesLeft ? failure : HttpFailureKind::Connect; }

    /// evhttp doesn't tell why a connect failed, so it is tried once more by itself.
    void findWhetherRefused()
    {
        refusedProbe = std::make_unique<ConnectProbe>(base, address, connectWithin, [this](int error) {
            const auto done = handlers.done;
            if (!abandoned) {
                done(HttpFailure{error == ECONNREFUSED ? HttpFailureKind::Refused : HttpFailureKind::Connect, false});
            }
        });
    }

    bool isWhole() const { return framed() && !handlerFailed; }

    /// Without a length or chunks the end of a cut answer looks like the end of a whole one.
    bool framed() const
    {
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        return bodyless || head.status == noContent || head.status == notModified || head.headers.find("Content-Length")
            || head.headers.find("Transfer-Encoding");
    }

    static void destroy(evutil_socket_t, short, void *self)
    {
        auto *state = static_cast<State *>(self);
        evhttp_connection_free(state->connection);
        delete state;
    }
};

HttpCall::HttpCall(event_base *base,
                   const Address &address,
                   HttpRequest request,
                   const HttpTimeouts &timeouts,
                   HttpCallHandlers handlers)
    : m_state(new State)
{
    m_state->base = base;
    m_state->handlers = std::move(handlers);
    m_state->address = address;
    m_state->connectWithin = timeouts.connect;
    m_state->bodyless = request.method == HttpMethod::Head;
    m_state->connection = evhttp_connection_base_new(base, nullptr, address.ip.c_str(), address.port);
    const timeval timeout = timevalOf(timeouts.silence);
    evhttp_connection_set_timeout_tv(m_state->connection, &timeout);
    evhttp_connection_set_retries(m_state->connection, 0);
    evhttp_connection_set_max_headers_size(m_state->connection, maxResponseHeaders);
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(m_state->connection)), &State::onOutput, m_state);

    m_state->connectTimer.reset(event_new(base, -1, 0, &State::onConnectTimeout, m_state));
    const timeval connectTimeout = timevalOf(timeouts.connect);
    event_add(m_state->connectTimer.get(), &connectTimeout);

    m_state->request = evhttp_request_new(&State::onDone, m_state);
    evhttp_request_set_error_cb(m_state->request, &State::onError);
    evhttp_request_set_header_cb(m_state->request, &State::onHeaders);
    evhttp_request_set_chunked_cb(m_state->request, &State::onChunk);
    evkeyvalq *headers = evhttp_request_get_output_headers(m_state->request);
    for (const auto &[name, value] : request.headers.fields()) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evhttp_add_header(headers, "Host", address.text().c_str());
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(m_state->request), request.body.data(), request.body.size());
    const auto command = commandOf(request.method);
    if (evhttp_make_request(m_state->connection, m_state->request, command, request.path.c_str()) != 0) {
        // libevent calls nothing back then, so the failure is told from the loop.
        m_state->request = nullptr;
        const timeval now{0, 0};
        event_add(m_state->connectTimer.get(), &now);
    }
}

HttpCall::~HttpCall()
{
    // The owner may be inside a handler, so the handlers and the connection are freed from the loop.
    m_state->abandoned = true;
    m_state->refusedProbe.reset();
    event_del(m_state->connectTimer.get());
    const timeval now{0, 0};
    event_base_once(m_state->base, -1, EV_TIMEOUT, &State::destroy, m_state, &now);
}

bool HttpCall::bytesLeft() const
{
    return m_state->bytesLeft;
}

void HttpCall::pauseReading()
{
    if (!m_state->finished) {
        bufferevent_disable(evhttp_connection_get_bufferevent(m_state->connection), EV_READ);
    }
}

void HttpCall::resumeReading()
{
    if (!m_state->finished) {
        bufferevent_enable(evhttp_connection_get_bufferevent(m_state->connection), EV_READ);
    }
}

std::unique_ptr<HttpCall> fetch(event_base *base,
                                const Address &address,
                                HttpRequest request,
                                const HttpTimeouts &timeouts,
                                std::function<void(const std::variant<HttpResponse, HttpFailure> &)> done)
{
    const auto body = std::make_shared<std::string>();
    const auto tooLong = std::make_shared<bool>(false);
    HttpCallHandlers handlers;
    handlers.chunk = [body, tooLong](std::string_view bytes) {
        if (body->size() + bytes.size() > maxFetchBody) {
            *tooLong = true;
            return;
        }
        body->append(bytes);
    };
    handlers.done = [body, tooLong, done = std::move(done)](const HttpOutcome &outcome) {
        if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
            done(*failure);
        } else if (*tooLong) {
            done(HttpFailure{HttpFailureKind::TooLong, true});
        } else {
            done(HttpResponse{std::get<HttpHead>(outcome), std::move(*body)});
        }
    };
    return std::make_unique<HttpCall>(base, address, std::move(request), timeouts, std::move(handlers));
}

} // namespace ibisfork::net
