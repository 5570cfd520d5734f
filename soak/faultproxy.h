#pragma once

#include <map>
#include <memory>

#include "gateway/callerport.h"
#include "net/timer.h"

namespace ibisfork::soak {

/// What becomes of the bytes on a proxy's connections.
enum class LinkMode {
    Passing,
    Delayed, ///< They come later.
    OneWay, ///< What the caller sends arrives; what comes back does not.
    Silent, ///< None arrive, and nothing is closed.
};

/// Forwards TCP connections to one address, and harms them on demand.
class FaultProxy
{
public:
    FaultProxy(event_base *base, const net::Address &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    net::Address address() const { return m_port.address(); }
    void setTarget(const net::Address &target) { m_target = target; }
    /// For connections open now and to come.
    void setMode(LinkMode mode);
    /// The connections open now go silent for good; new ones work.
    void silenceOpen();
    void resetAll();

private:
    class Link;

    void accept(evutil_socket_t socket);
    void forget(Link *link);

    event_base *m_base;
    net::Address m_target;
    LinkMode m_mode = LinkMode::Passing;
    std::map<Link *, std::unique_ptr<Link>> m_links;
    gateway::ListeningPort m_port;
};

} // namespace ibisfork::soak
