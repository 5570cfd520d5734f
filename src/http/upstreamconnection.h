#pragma once

#include <functional>
#include <memory>
#include <string>

#include <ibisfork/base/clock.h>

#include "http/body.h"
#include "http/messageparser.h"
#include "net/address.h"
#include "net/libevent.h"

namespace ibisfork::http {

/// Why an exchange on a connection came to nothing.
enum class ConnectionFailure {
    Connect, ///< No connection came about, so nothing was sent.
    NoSocket, ///< This process could open no further socket, so nothing was sent; it says nothing of the other end.
    Lost, ///< Reset or closed before the answer was whole; what was sent may have run.
    Malformed, ///< The bytes were no answer.
};

/// One connection to an upstream or to the platform's store, for one request at a time.
class UpstreamConnection
{
public:
    /// What happens to the request that was sent. None of them may destroy the connection at once.
    struct Handlers
    {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onComplete;
        std::function<void(ConnectionFailure)> onFailure;
    };

    UpstreamConnection(event_base *base, const net::Address &address);
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Sends @p bytes, a whole request, as soon as the connection is open. @p bodyless: the answer to HEAD.
    void send(std::string bytes, bool bodyless, Handlers handlers);
    /// Sends a request with the serialized head @p head and @p body, which is not copied.
    void send(std::string head, Body body, bool bodyless, Handlers handlers);

    bool connected() const { return m_connected; }
    /// True if this process could open no further socket.
    bool lacksSocket() const { return m_lacksSocket; }
    /// True if the connection failed or has ended.
    bool broken() const { return m_broken; }
    /// When the connection was established; meaningless before.
    base::TimePoint connectedAt() const { return m_connectedAt; }
    /// True if the socket holds what has not been read: bytes, the end of the connection, or that it is established.
    bool hasUnread() const;
    /// True once a request may have left for the other end.
    bool sent() const { return m_sent; }
    /// True if another request may be sent: the last answer was whole, nothing followed it, and the other end keeps the
    /// connection.
    bool reusable() const;
    /// True if the last answer had no length of its own, so that only the end of the connection ended it.
    bool answerEndedWithConnection() const { return m_parser.lengthUnknown(); }
    /// How long the other end keeps an idle connection, if it says.
    std::optional<std::chrono::seconds> idleAllowed() const { return m_idleAllowed; }

    /// No handler is called any more; the connection closes when it is destroyed.
    void abandon();

    /// Bytes of the current answer that are not read any more while this is set.
    void pauseReading(bool paused);

private:
    /// Runs @p callback; an exception breaks the connection, and the request on it has failed.
    template<typename Callback>
    void runGuarded(const Callback &callback);
    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);

    void handleEvent(short what);
    void readMore();
    ConnectionFailure failure() const;
    void fail(ConnectionFailure failure);
    void complete();
    void writePending();

    net::BufferEventPtr m_bufferEvent;
    MessageParser m_parser;
    Handlers m_handlers;
    std::string m_pending;
    Body m_pendingBody;
    std::optional<std::chrono::seconds> m_idleAllowed;
    base::TimePoint m_connectedAt{};
    bool m_connected = false;
    bool m_sent = false;
    bool m_abandoned = false;
    bool m_busy = false;
    bool m_broken = false;
    bool m_lacksSocket = false;
    /// The end of the connection that is read next is that of a broken one.
    bool m_writeFailed = false;
};

} // namespace ibisfork::http
