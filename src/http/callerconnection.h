#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

#include "http/answerframing.h"
#include "http/body.h"
#include "http/bodycollector.h"
#include "http/callerbounds.h"
#include "http/connectionend.h"
#include "http/messageparser.h"
#include "memory/memorybudget.h"
#include "net/libevent.h"
#include "net/timer.h"

namespace ibisfork::http {

struct Request
{
    RequestHead head;
    Body body;
};

/// One connection of a caller. Requests are handed on one at a time; those that follow wait in the connection until
/// the one before is answered. A request is read under the bounds at its first byte, or under wider ones that come
/// into force while it is read.
class CallerConnection
{
public:
    /// What happens on a connection. The handlers must not destroy it; it is theirs to put off.
    struct Handlers
    {
        std::function<void(CallerConnection &, Request)> onRequest;
        /// The caller has left while its request was being answered, or has closed its sending side, which looks the
        /// same. A short answer may still be sent.
        std::function<void(CallerConnection &)> onCallerLeft;
        /// The caller reads again after it had fallen behind.
        std::function<void(CallerConnection &)> onDrained;
        /// The connection is of no further use; end() says why.
        std::function<void(CallerConnection &)> onClosed;
    };

    /// @p budget is what bodies and answers are counted in; without one they are not.
    CallerConnection(event_base *base,
                     evutil_socket_t socket,
                     CallerBoundsSource bounds,
                     Handlers handlers,
                     memory::BudgetPtr budget = {});
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Sends a whole answer. @p closeAfter: no request follows on this connection, unless one is here already.
    void sendAnswer(int status, const HeaderList &headers, std::string_view body, bool closeAfter);
    /// As sendAnswer(), without a copy of the bytes.
    void sendHeldAnswer(int status, const HeaderList &headers, const Body &body, bool closeAfter);
    /// Begins an answer of @p length bytes, or one whose length is not known.
    void beginStream(int status,
                     const HeaderList &headers,
                     bool closeAfter,
                     std::optional<std::size_t> length = std::nullopt);
    void sendPiece(std::string_view bytes);
    /// As sendPiece(), without a copy of the bytes.
    void sendHeldPiece(const Body &piece);
    /// Ends the stream as complete.
    void endStream();
    /// Breaks the answer off, so that it can't be taken for complete.
    void abort();
    /// True if the connection is unused and a request can hardly be on its way: it was not opened or used just now.
    /// For CloseCause::RoomNeeded also if its caller has had the last answer for a while.
    bool mayCloseIdle(CloseCause cause) const;
    /// Closes the connection if mayCloseIdle().
    void closeIfIdle(CloseCause cause);
    /// How long a request has been coming that is not whole yet; zero if none is.
    base::Duration unfinishedFor(base::TimePoint now) const;
    /// Refuses a request that is not whole yet, with status 503.
    void refuseUnfinished();

    /// How the connection ended, once it has.
    const ConnectionEnd &end() const { return m_end; }
    bool answering() const { return m_answering; }
    bool idle() const { return !m_answering && m_parser.untouched() && unreadBytes() == 0; }
    /// Bytes of the answer that the caller has not taken.
    std::size_t backlog() const;
    /// False if the budget had no room for the backlog when a piece was last sent.
    bool backlogFits() const { return m_backlogFits; }

private:
    /// What the timer waits for.
    enum class Wait {
        Request,
        Head,
        Body,
        AnswerTaken, ///< The caller takes the bytes of the last answer.
        CallerEnd, ///< The caller closes its side after the last answer.
    };

    /// Runs @p callback; an exception breaks the connection off.
    template<typename Callback>
    void runGuarded(const Callback &callback);
    static void onRead(bufferevent *, void *self);
    static void onWritten(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);

    /// Begins to wait, for as long as the bounds in force allow.
    void await(Wait wait);
    base::Duration waitBound() const;
    ConnectionStage stage() const;
    /// True if the caller has sent bytes that have not been read from the socket.
    bool hasBytesToRead() const;
    /// True if bytes of another request are here.
    bool hasNextRequest() const;
    /// True if more bytes of an answer can be sent.
    bool takesBytes() const;

    void readMore();
    /// True while the caller leaves so much of its answers that no further request is taken from it.
    bool isBehind() const;
    /// Lets the loop read the request that may be here already, so that the stack does not grow.
    void readNextRequest();
    void parse();
    void collectBody(std::string_view bytes);
    /// Makes room for the body that the head announces.
    void expectBody();
    void refuse(int status);
    void refuseBody();
    /// Counts the request that is being read; false if the budget has no room.
    bool countRequest();
    void pauseReading(bool paused);
    void requestDone();
    void bytesSent();
    void answerSent();
    void callerEnded(bool broken);
    void answerDone(bool closeAfter);
    void onTimeout();
    void resetOnClose();
    void close(CloseCause cause);
    void write(std::string_view bytes);
    void writeBody(const Body &body);
    /// Writes a piece of @p bytes, which @p writeBytes writes, as the answer is framed.
    template<typename WriteBytes>
    void writePiece(std::size_t bytes, const WriteBytes &writeBytes);
    void countBacklog();
    std::size_t unreadBytes() const;

    CallerBoundsSource m_boundsSource;
    CallerBounds m_bounds;
    Handlers m_handlers;
    net::BufferEventPtr m_bufferEvent;
    net::Timer m_timer;
    /// Ends a pause of reading.
    net::Timer m_readAgain;
    Wait m_wait = Wait::Request;
    base::TimePoint m_waitBegan;
    /// When the first byte of the request under way came.
    base::TimePoint m_requestBegan;
    /// What the caller still sends on a connection that will be closed is read until then, if it goes on sending.
    base::TimePoint m_drainUntil;
    bool m_drained = false;
    /// Backlog when the wait for the caller to take an answer last began.
    std::size_t m_lastBacklog = 0;
    MessageParser m_parser;
    BodyCollector m_body;
    /// The head of the request under way, and what has been read of later ones.
    memory::Reservation m_read;
    /// What the request under way needs besides its body.
    std::size_t m_requestBytes = 0;
    /// Set while the budget has no room for requests that come ahead of the answer.
    bool m_readingPaused = false;
    /// What pieces of answers are counted as until they are sent.
    memory::Reservation m_unsent;
    bool m_backlogFits = true;
    bool m_answering = false;
    AnswerFraming m_framing;
    bool m_closeAfter = false;
    bool m_closeWhenWritten = false;
    bool m_closed = false;
    /// Nothing more comes from the caller.
    bool m_callerEnded = false;
    bool m_continueSent = false;
    ConnectionEnd m_end;
};

} // namespace ibisfork::http
