#pragma once

#include <functional>
#include <memory>
#include <string>

#include <ibisfork/base/clock.h>

#include "http/messageparser.h"
#include "net/libevent.h"
#include "net/timer.h"

namespace ibisfork::http {

/// Bounds on what a caller may send, and how long it may take or stay idle.
struct CallerBounds
{
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds headTimeout{3000};
    std::chrono::milliseconds bodyTimeout{15000};
    std::chrono::milliseconds idleTimeout{15000};
};

struct Request
{
    RequestHead head;
    std::string body;
};

/// One connection of a caller. Requests are handed on one at a time; those that follow wait in the connection until
/// the one before is answered.
class CallerConnection
{
public:
    /// What happens on a connection. The handlers must not destroy it; it is theirs to put off.
    struct Handlers
    {
        std::function<void(CallerConnection &, Request)> onRequest;
        /// The caller has left while its request was being answered.
        std::function<void(CallerConnection &)> onCallerLeft;
        /// The caller reads again after it had fallen behind.
        std::function<void(CallerConnection &)> onDrained;
        /// The connection is of no further use.
        std::function<void(CallerConnection &)> onClosed;
    };

    CallerConnection(event_base *base, evutil_socket_t socket, const CallerBounds &bounds, Handlers handlers);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Sends a whole answer. @p closeAfter: no request follows on this connection.
    void sendAnswer(int status, const HeaderList &headers, std::string_view body, bool closeAfter);
    /// Begins an answer whose length is not known.
    void beginStream(int status, const HeaderList &headers, bool closeAfter);
    void sendPiece(std::string_view bytes);
    /// Ends the stream as complete.
    void endStream();
    /// Breaks the answer off, so that it can't be taken for complete.
    void abort();
    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    bool answering() const { return m_answering; }
    bool idle() const { return !m_answering && m_parser.untouched() && unreadBytes() == 0; }
    /// Bytes of the answer that the caller has not taken.
    std::size_t backlog() const;

private:
    static void onRead(bufferevent *, void *self);
    static void onWritten(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);

    void readMore();
    void finishSending();
    void parse();
    void refuse(int status);
    void requestDone();
    void answerDone(bool closeAfter);
    void onTimeout();
    void close();
    void write(std::string_view bytes);
    std::size_t unreadBytes() const;

    struct BufferEventDeleter
    {
        void operator()(bufferevent *item) const { bufferevent_free(item); }
    };

    CallerBounds m_bounds;
    Handlers m_handlers;
    std::unique_ptr<bufferevent, BufferEventDeleter> m_bufferEvent;
    net::Timer m_timer;
    MessageParser m_parser;
    std::string m_body;
    bool m_bodyTooLong = false;
    bool m_answering = false;
    bool m_headRequest = false;
    bool m_chunked = false;
    bool m_closeAfter = false;
    bool m_closeWhenWritten = false;
    bool m_closed = false;
    bool m_continueSent = false;
};

} // namespace ibisfork::http
