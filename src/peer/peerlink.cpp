#include "peer/peerlink.h"

namespace ibisfork::peer {

namespace {

constexpr int handshakeMilliseconds = 2000;
constexpr const char *refusedName = "ibisfork_peer_refused_total";

} // namespace

PeerCounters::PeerCounters(base::MetricsRegistry &metrics)
    : framesSent(metrics.counter("ibisfork_peer_frames_sent_total"))
    , bytesSent(metrics.counter("ibisfork_peer_bytes_sent_total"))
    , framesReceived(metrics.counter("ibisfork_peer_frames_received_total"))
    , bytesReceived(metrics.counter("ibisfork_peer_bytes_received_total"))
    , dropped(metrics.counter("ibisfork_peer_frames_dropped_total"))
    , malformed(metrics.counter(refusedName, {{"reason", "malformed"}}))
    , otherProtocol(metrics.counter(refusedName, {{"reason", "other-protocol"}}))
    , replayed(metrics.counter(refusedName, {{"reason", "replayed"}}))
    , wrongKey(metrics.counter(refusedName, {{"reason", "wrong-key"}}))
    , linksReplaced(metrics.counter("ibisfork_peer_links_replaced_total"))
{ }

PeerLink::PeerLink(void *context,
                   event_base *base,
                   net::Address address,
                   const CurveKeys &keys,
                   PeerCounters &counters,
                   Received received)
    : m_context(context)
    , m_base(base)
    , m_address(std::move(address))
    , m_keys(keys)
    , m_counters(counters)
    , m_received(std::move(received))
{
    open();
}

void PeerLink::open()
{
    m_socket = std::make_unique<ZmqSocket>(m_context, ZMQ_DEALER, m_base, [this](const ZmqMessage &message) {
        m_unansweredSince.reset();
        m_received(message.back());
    });
    m_socket->set(ZMQ_HANDSHAKE_IVL, handshakeMilliseconds);
    if (!m_keys.empty()) {
        connectCurve(*m_socket, m_keys);
    }
    m_socket->connect("tcp://" + m_address.text());
}

bool PeerLink::send(const std::string &bytes, base::TimePoint now)
{
    if (!m_unansweredSince) {
        m_unansweredSince = now;
    }
    if (!m_socket->send({bytes})) {
        m_counters.dropped.add();
        return false;
    }
    m_counters.framesSent.add();
    m_counters.bytesSent.add(bytes.size());
    return true;
}

void PeerLink::replaceIfSilent(base::TimePoint now, base::Duration silence)
{
    if (m_unansweredSince && now - *m_unansweredSince >= silence) {
        m_unansweredSince.reset();
        m_counters.linksReplaced.add();
        open();
    }
}

} // namespace ibisfork::peer
