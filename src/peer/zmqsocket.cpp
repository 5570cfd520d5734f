#include "peer/zmqsocket.h"

#include <fmt/format.h>

#include "net/guard.h"
#include "peer/exceptions.h"

namespace ibisfork::peer {

namespace {

/// Messages that wait at most in either direction of a socket, for each peer.
constexpr int queuedMessages = 200;
/// Messages handled before the loop's other events get their turn.
constexpr int messagesPerTurn = 100;

void check(int result, const char *call)
{
    if (result != 0) {
        throw PeerError(fmt::format(errormessage::zmq, call, zmq_strerror(zmq_errno())));
    }
}

} // namespace

ZmqContextPtr makeZmqContext()
{
    ZmqContextPtr context(zmq_ctx_new());
    if (!context) {
        throw PeerError(fmt::format(errormessage::zmq, "zmq_ctx_new", zmq_strerror(zmq_errno())));
    }
    return context;
}

ZmqSocket::ZmqSocket(void *context, int type, event_base *base, std::function<void(ZmqMessage)> received)
    : m_received(std::move(received))
    , m_socket(zmq_socket(context, type))
{
    if (m_socket == nullptr) {
        throw PeerError(fmt::format(errormessage::zmq, "zmq_socket", zmq_strerror(zmq_errno())));
    }
    set(ZMQ_LINGER, 0);
    set(ZMQ_SNDHWM, queuedMessages);
    set(ZMQ_RCVHWM, queuedMessages);
    int descriptor = -1;
    std::size_t size = sizeof(descriptor);
    check(zmq_getsockopt(m_socket, ZMQ_FD, &descriptor, &size), "zmq_getsockopt");
    m_event.reset(event_new(base, descriptor, EV_READ | EV_PERSIST, &ZmqSocket::onReadable, this));
    event_add(m_event.get(), nullptr);
}

ZmqSocket::~ZmqSocket()
{
    m_event.reset();
    zmq_close(m_socket);
}

void ZmqSocket::set(int option, int value)
{
    check(zmq_setsockopt(m_socket, option, &value, sizeof(value)), "zmq_setsockopt");
}

void ZmqSocket::set(int option, const std::string &value)
{
    check(zmq_setsockopt(m_socket, option, value.data(), value.size()), "zmq_setsockopt");
}

void ZmqSocket::bind(const std::string &endpoint)
{
    check(zmq_bind(m_socket, endpoint.c_str()), "zmq_bind");
    event_active(m_event.get(), EV_READ, 0);
}

std::string ZmqSocket::boundEndpoint() const
{
    constexpr std::size_t longest = 256;
    std::string endpoint(longest, '\0');
    std::size_t size = endpoint.size();
    check(zmq_getsockopt(m_socket, ZMQ_LAST_ENDPOINT, endpoint.data(), &size), "zmq_getsockopt");
    // The size counts the closing zero.
    endpoint.resize(size - 1);
    return endpoint;
}

void ZmqSocket::connect(const std::string &endpoint)
{
    check(zmq_connect(m_socket, endpoint.c_str()), "zmq_connect");
    event_active(m_event.get(), EV_READ, 0);
}

void ZmqSocket::monitor(const std::string &endpoint, int events)
{
    check(zmq_socket_monitor(m_socket, endpoint.c_str(), events) < 0 ? -1 : 0, "zmq_socket_monitor");
}

bool ZmqSocket::send(const ZmqMessage &message)
{
    bool sent = true;
    for (std::size_t i = 0; i < message.size() && sent; ++i) {
        const int more = i + 1 < message.size() ? ZMQ_SNDMORE : 0;
        sent = zmq_send(m_socket, message[i].data(), message[i].size(), ZMQ_DONTWAIT | more) >= 0;
    }
    // The descriptor signals changes only; a send may have used one up.
    event_active(m_event.get(), EV_READ, 0);
    return sent;
}

std::optional<ZmqMessage> ZmqSocket::receive()
{
    ZmqMessage message;
    int more = 1;
    while (more != 0) {
        zmq_msg_t part;
        zmq_msg_init(&part);
        if (zmq_msg_recv(&part, m_socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&part);
            return std::nullopt;
        }
        message.emplace_back(static_cast<const char *>(zmq_msg_data(&part)), zmq_msg_size(&part));
        more = zmq_msg_more(&part);
        zmq_msg_close(&part);
    }
    return message;
}

void ZmqSocket::onReadable(evutil_socket_t, short, void *self)
{
    auto &socket = *static_cast<ZmqSocket *>(self);
    for (int handled = 0; handled < messagesPerTurn; ++handled) {
        auto message = socket.receive();
        if (!message) {
            return;
        }
        net::runGuarded("peer", [&] { socket.m_received(std::move(*message)); });
    }
    event_active(socket.m_event.get(), EV_READ, 0);
}

} // namespace ibisfork::peer
