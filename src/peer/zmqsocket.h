#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <zmq.h>

#include "net/libevent.h"

namespace ibisfork::peer {

struct ZmqContextDeleter
{
    void operator()(void *context) const { zmq_ctx_term(context); }
};

using ZmqContextPtr = std::unique_ptr<void, ZmqContextDeleter>;

/// Makes a ZeroMQ context with one I/O thread. Throws PeerError.
ZmqContextPtr makeZmqContext();

using ZmqMessage = std::vector<std::string>;

/// A ZeroMQ socket in an event loop. Never blocks; what does not fit its queue is dropped.
class ZmqSocket
{
public:
    ZmqSocket(void *context, int type, event_base *base, std::function<void(ZmqMessage)> received);
    ~ZmqSocket();
    ZmqSocket(const ZmqSocket &) = delete;
    ZmqSocket &operator=(const ZmqSocket &) = delete;

    void set(int option, int value);
    void set(int option, const std::string &value);
    void bind(const std::string &endpoint);
    void connect(const std::string &endpoint);
    /// The endpoint that was bound last; its port is known also if port 0 was asked for.
    std::string boundEndpoint() const;
    /// Publishes the socket's @p events at @p endpoint, for a PAIR socket.
    void monitor(const std::string &endpoint, int events);
    /// Returns whether the message was queued.
    bool send(const ZmqMessage &message);

private:
    static void onReadable(evutil_socket_t, short, void *self);
    std::optional<ZmqMessage> receive();

    std::function<void(ZmqMessage)> m_received;
    void *m_socket;
    net::EventPtr m_event;
};

} // namespace ibisfork::peer
