#include "faultproxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "net/deletelater.h"
#include "socketaddress.h"

namespace ibisfork::gateway::test {

namespace {

constexpr std::chrono::milliseconds linkDelay{150};

void setReset(bufferevent *side)
{
    const linger now{1, 0};
    setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace

/// The two connections of one caller.
class FaultProxy::Link
{
public:
    Link(FaultProxy &proxy, evutil_socket_t socket)
        : m_proxy(proxy)
        , m_caller(bufferevent_socket_new(proxy.m_base, socket, BEV_OPT_CLOSE_ON_FREE))
        , m_target(bufferevent_socket_new(proxy.m_base, -1, BEV_OPT_CLOSE_ON_FREE))
        , m_mode(proxy.m_mode)
        , m_later(proxy.m_base, [this] { passBoth(); })
    {
        auto address = ibisfork::test::socketAddress(proxy.m_target);
        bufferevent_setcb(m_caller, &onRead, &onWritten, &onEvent, this);
        bufferevent_setcb(m_target, &onRead, &onWritten, &onEvent, this);
        bufferevent_enable(m_caller, EV_READ | EV_WRITE);
        bufferevent_enable(m_target, EV_READ | EV_WRITE);
        bufferevent_socket_connect(m_target, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }

    ~Link()
    {
        bufferevent_free(m_caller);
        bufferevent_free(m_target);
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void setMode(LinkMode mode)
    {
        if (!m_silentForGood) {
            m_mode = mode;
            passBoth();
        }
    }

    void silence()
    {
        m_mode = LinkMode::Silent;
        m_silentForGood = true;
    }

    void reset()
    {
        setReset(m_caller);
        setReset(m_target);
        m_proxy.forget(this);
    }

private:
    static void onRead(bufferevent *, void *self)
    {
        auto &link = *static_cast<Link *>(self);
        if (link.m_mode == LinkMode::Delayed) {
            link.m_later.startOnce(linkDelay);
        } else if (link.m_mode == LinkMode::Resetting) {
            link.reset();
        } else {
            link.passBoth();
        }
    }

    static void onWritten(bufferevent *side, void *self)
    {
        auto &link = *static_cast<Link *>(self);
        if (link.m_closing == side) {
            link.m_proxy.forget(&link);
        }
    }

    static void onEvent(bufferevent *side, short what, void *self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<Link *>(self)->ended(side, (what & BEV_EVENT_ERROR) != 0);
        }
    }

    void ended(bufferevent *side, bool broken)
    {
        if (m_mode == LinkMode::Silent) {
            // A middlebox that has lost track of a connection passes no end of it on either.
            return;
        }
        auto *other = side == m_caller ? m_target : m_caller;
        if (broken) {
            setReset(other);
        }
        if (broken || evbuffer_get_length(bufferevent_get_output(other)) == 0) {
            m_proxy.forget(this);
        } else {
            m_closing = other;
        }
    }

    void passBoth()
    {
        if (m_mode == LinkMode::Silent) {
            return;
        }
        bufferevent_write_buffer(m_target, bufferevent_get_input(m_caller));
        if (m_mode != LinkMode::OneWay) {
            bufferevent_write_buffer(m_caller, bufferevent_get_input(m_target));
        }
    }

    FaultProxy &m_proxy;
    bufferevent *m_caller;
    bufferevent *m_target;
    bufferevent *m_closing = nullptr;
    LinkMode m_mode;
    bool m_silentForGood = false;
    net::Timer m_later;
};

FaultProxy::FaultProxy(event_base *base, const net::Address &target)
    : m_base(base)
    , m_target(target)
{
    listen();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::listen()
{
    m_port = std::make_unique<ListeningPort>(m_base, m_address, [this](evutil_socket_t socket) { accept(socket); });
    m_address = m_port->address();
}

void FaultProxy::cut(PathCut cut)
{
    switch (cut) {
    case PathCut::Silent:
    case PathCut::OneWay:
        setMode(cut == PathCut::Silent ? LinkMode::Silent : LinkMode::OneWay);
        m_port.reset();
        m_hangingPort = std::make_unique<HangingPort>(m_address);
        return;
    case PathCut::Reset:
        setMode(LinkMode::Resetting);
        m_port.reset();
        m_refusingPort = std::make_unique<RefusingPort>(m_address);
        return;
    case PathCut::Lossy:
        setMode(LinkMode::Delayed);
        return;
    }
}

void FaultProxy::heal()
{
    m_hangingPort.reset();
    if (!m_port) {
        listen();
    }
    m_refusingPort.reset();
    setMode(LinkMode::Passing);
}

void FaultProxy::accept(evutil_socket_t socket)
{
    auto link = std::make_unique<Link>(*this, socket);
    m_links.emplace(link.get(), std::move(link));
}

void FaultProxy::forget(Link *link)
{
    auto found = m_links.extract(link);
    if (found) {
        net::deleteLater(m_base, std::move(found.mapped()));
    }
}

void FaultProxy::setMode(LinkMode mode)
{
    m_mode = mode;
    for (auto &[link, owned] : m_links) {
        link->setMode(mode);
    }
}

void FaultProxy::silenceOpen()
{
    for (auto &[link, owned] : m_links) {
        link->silence();
    }
}

void FaultProxy::resetAll()
{
    while (!m_links.empty()) {
        m_links.begin()->first->reset();
    }
}

} // namespace ibisfork::gateway::test
