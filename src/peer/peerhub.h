#pragma once

#include <map>

#include "net/timer.h"
#include "peer/peerlink.h"

namespace ibisfork::peer {

/// Where a frame came from: a node that asks has a route for answers, a node that was asked has none.
struct Origin
{
    std::string incarnation;
    std::string route;
};

/// All sockets of a node towards other nodes. Lives on one event loop.
class PeerHub
{
public:
    using Received = std::function<void(const Origin &, const wire::Frame &)>;

    /// Listens on @p listen. Throws PeerError.
    PeerHub(event_base *base,
            const net::Address &listen,
            CurveKeys keys,
            std::string incarnation,
            base::MetricsRegistry &metrics,
            Received received);

    /// The address that it listens on; its port is known also if port 0 was asked for.
    const net::Address &address() const { return m_address; }
    /// Keeps links to these nodes only, by incarnation.
    void setPeers(const std::map<std::string, net::Address> &peers);
    /// Sends to a node over the link to it, which is opened if there is none.
    bool send(const std::string &incarnation, const net::Address &address, wire::Frame frame, base::TimePoint now);
    /// Answers a node that asked.
    bool answer(const Origin &origin, wire::Frame frame);
    /// Replaces links that were silent for @p silence.
    void replaceSilentLinks(base::TimePoint now, base::Duration silence);
    std::size_t linkCount() const { return m_links.size(); }

private:
    void onFrame(const std::string &route, const std::string &bytes);
    bool isReplay(const std::string &route, const wire::Frame &frame);
    std::string seal(wire::Frame &frame);
    void watchHandshakes();

    event_base *m_base;
    CurveKeys m_keys;
    std::string m_incarnation;
    Received m_received;
    PeerCounters m_counters;
    std::uint64_t m_sequence = 0;
    /// Highest sequence numbers seen, by sender and direction.
    std::map<std::pair<std::string, bool>, std::uint64_t> m_seen;
    ZmqContextPtr m_context;
    std::unique_ptr<CurveGuard> m_guard;
    ZmqSocket m_server;
    net::Address m_address;
    std::unique_ptr<ZmqSocket> m_monitor;
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    /// Links no longer wanted, one of which may be in the middle of a callback.
    std::vector<std::unique_ptr<PeerLink>> m_retired;
    net::Timer m_retirement;
};

} // namespace ibisfork::peer
