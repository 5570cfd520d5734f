#pragma once

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>

#include "net/address.h"
#include "peer/curve.h"
#include "peer/frame.h"

namespace ibisfork::peer {

/// What the sockets between nodes count.
struct PeerCounters
{
    explicit PeerCounters(base::MetricsRegistry &metrics);

    base::Counter &framesSent;
    base::Counter &bytesSent;
    base::Counter &framesReceived;
    base::Counter &bytesReceived;
    base::Counter &dropped;
    base::Counter &malformed;
    base::Counter &otherProtocol;
    base::Counter &replayed;
    base::Counter &wrongKey;
    base::Counter &linksReplaced;
};

/// A connection to one node that is asked. A silent one is replaced by a fresh socket.
class PeerLink
{
public:
    using Received = std::function<void(const std::string &bytes)>;

    PeerLink(void *context,
             event_base *base,
             net::Address address,
             const CurveKeys &keys,
             PeerCounters &counters,
             Received received);

    const net::Address &address() const { return m_address; }
    /// Returns whether the frame was queued.
    bool send(const std::string &bytes, base::TimePoint now);
    /// Opens a fresh socket if frames went unanswered for @p silence.
    void replaceIfSilent(base::TimePoint now, base::Duration silence);

private:
    void open();

    void *m_context;
    event_base *m_base;
    net::Address m_address;
    CurveKeys m_keys;
    PeerCounters &m_counters;
    Received m_received;
    /// When the oldest frame without an answer was sent.
    std::optional<base::TimePoint> m_unansweredSince;
    std::unique_ptr<ZmqSocket> m_socket;
};

} // namespace ibisfork::peer
