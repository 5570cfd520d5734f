#include "pausableengine.h"

#include <unistd.h>

#include <algorithm>

#include "net/deletelater.h"
#include "socketaddress.h"

namespace ibisfork::gateway::test {

/// Passes the bytes of one connection on, in both directions.
class PausableEngine::Link
{
public:
    Link(PausableEngine &owner, evutil_socket_t socket)
        : m_owner(owner)
        , m_node(bufferevent_socket_new(owner.m_base, socket, BEV_OPT_CLOSE_ON_FREE))
        , m_engine(bufferevent_socket_new(owner.m_base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_node, &onNodeRead, &onNodeWritten, &onNodeEvent, this);
        bufferevent_setcb(m_engine, &onEngineRead, nullptr, &onEngineEvent, this);
        const auto target = ibisfork::test::socketAddress(owner.m_engine.address());
        bufferevent_socket_connect(m_engine, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        setPaused(owner.m_paused);
    }

    ~Link()
    {
        bufferevent_free(m_node);
        bufferevent_free(m_engine);
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void setPaused(bool paused)
    {
        if (paused) {
            bufferevent_disable(m_node, EV_READ);
            bufferevent_disable(m_engine, EV_READ);
            return;
        }
        bufferevent_enable(m_node, EV_READ | EV_WRITE);
        bufferevent_enable(m_engine, EV_READ | EV_WRITE);
        passRequest();
        passAnswer();
    }

private:
    static void onNodeRead(bufferevent *, void *self) { static_cast<Link *>(self)->passRequest(); }
    static void onEngineRead(bufferevent *, void *self) { static_cast<Link *>(self)->passAnswer(); }

    static void onNodeWritten(bufferevent *, void *self)
    {
        auto &link = *static_cast<Link *>(self);
        if (link.m_engineClosed && evbuffer_get_length(bufferevent_get_input(link.m_engine)) == 0) {
            link.m_owner.drop(&link);
        }
    }

    static void onNodeEvent(bufferevent *, short what, void *self)
    {
        auto &link = *static_cast<Link *>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            link.m_owner.drop(&link);
        }
    }

    static void onEngineEvent(bufferevent *, short what, void *self)
    {
        auto &link = *static_cast<Link *>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        link.m_engineClosed = true;
        if (evbuffer_get_length(bufferevent_get_output(link.m_node)) == 0) {
            onNodeWritten(nullptr, self);
        }
    }

    void passRequest()
    {
        if (!m_owner.m_paused) {
            bufferevent_write_buffer(m_engine, bufferevent_get_input(m_node));
        }
    }

    void passAnswer()
    {
        auto *input = bufferevent_get_input(m_engine);
        if (m_owner.m_paused || evbuffer_get_length(input) == 0) {
            return;
        }
        const auto count = m_owner.take(evbuffer_get_length(input));
        evbuffer_remove_buffer(input, bufferevent_get_output(m_node), count);
    }

    PausableEngine &m_owner;
    bufferevent *m_node;
    bufferevent *m_engine;
    bool m_engineClosed = false;
};

PausableEngine::PausableEngine(event_base *base)
    : m_base(base)
    , m_engine(base)
    , m_timer(base, [this] { goOn(); })
    , m_port(base, net::Address{"127.0.0.1", 0}, [this](evutil_socket_t socket) { accept(socket); })
{ }

PausableEngine::~PausableEngine() = default;

net::Address PausableEngine::address() const
{
    return m_port.address();
}

void PausableEngine::accept(evutil_socket_t socket)
{
    if (m_paused && m_refusesWhilePaused) {
        close(socket);
        return;
    }
    auto link = std::make_unique<Link>(*this, socket);
    m_links.emplace(link.get(), std::move(link));
}

void PausableEngine::pause(std::chrono::milliseconds time)
{
    m_paused = true;
    for (const auto &item : m_links) {
        item.first->setPaused(true);
    }
    m_timer.startOnce(time);
}

void PausableEngine::pauseAfter(std::size_t bytes, std::chrono::milliseconds time)
{
    m_bytesLeft = bytes;
    m_nextPause = time;
}

std::size_t PausableEngine::take(std::size_t wanted)
{
    if (!m_bytesLeft || wanted < *m_bytesLeft) {
        m_bytesLeft = m_bytesLeft ? std::optional(*m_bytesLeft - wanted) : std::nullopt;
        return wanted;
    }
    const auto count = *m_bytesLeft;
    m_bytesLeft.reset();
    pause(m_nextPause);
    return count;
}

void PausableEngine::goOn()
{
    m_paused = false;
    for (const auto &item : m_links) {
        item.first->setPaused(false);
    }
}

void PausableEngine::drop(Link *link)
{
    const auto found = m_links.find(link);
    if (found != m_links.end()) {
        net::deleteLater(m_base, std::move(found->second));
        m_links.erase(found);
    }
}

} // namespace ibisfork::gateway::test
