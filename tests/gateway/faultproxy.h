#pragma once

#include <map>
#include <memory>

#include "gateway/callerport.h"
#include "hangingport.h"
#include "net/timer.h"

namespace ibisfork::gateway::test {

/// What becomes of the bytes on a proxy's connections.
enum class LinkMode {
    Passing,
    Delayed, ///< They come later.
    OneWay, ///< What the caller sends arrives; what comes back does not.
    Silent, ///< None arrive, and nothing is closed.
    Resetting, ///< Bytes of the caller reset the connection.
};

/// How a path is lost, for connections open and to come.
enum class PathCut {
    Silent, ///< No bytes arrive; new connections hang.
    OneWay, ///< Bytes arrive and their answers don't; new connections hang.
    Reset, ///< Bytes reset their connection; new connections are refused.
    Lossy, ///< Bytes come late, and connections come about.
};

/// Forwards TCP connections to one address, and harms them on demand.
class FaultProxy
{
public:
    FaultProxy(event_base *base, const net::Address &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    net::Address address() const { return m_address; }
    void setTarget(const net::Address &target) { m_target = target; }
    /// For connections open now and to come.
    void setMode(LinkMode mode);
    void cut(PathCut cut);
    /// Ends a cut; what it held up arrives.
    void heal();
    /// The connections open now go silent for good; new ones work.
    void silenceOpen();
    void resetAll();

private:
    class Link;

    void listen();
    void accept(evutil_socket_t socket);
    void forget(Link *link);

    event_base *m_base;
    net::Address m_target;
    LinkMode m_mode = LinkMode::Passing;
    std::map<Link *, std::unique_ptr<Link>> m_links;
    net::Address m_address{"127.0.0.1", 0};
    std::unique_ptr<ListeningPort> m_port;
    /// Set while new connections hang.
    std::unique_ptr<HangingPort> m_hangingPort;
    /// Set while new connections are refused.
    std::unique_ptr<RefusingPort> m_refusingPort;
};

} // namespace ibisfork::gateway::test
