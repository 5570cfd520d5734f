#include "peer/peerhub.h"

namespace ibisfork::peer {

namespace {

const std::string transport = "tcp://";
/// Largest frame that a node may send unasked, in bytes.
constexpr int maxRequestBytes = 1024 * 1024;
constexpr int handshakeMilliseconds = 2000;
/// Senders whose sequence numbers are kept at most.
constexpr std::size_t maxSenders = 4096;
constexpr const char *monitorEndpoint = "inproc://peer-handshakes";
constexpr int handshakeFailures
    = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

} // namespace

PeerHub::PeerHub(event_base *base,
                 const net::Address &listen,
                 CurveKeys keys,
                 std::string incarnation,
                 base::MetricsRegistry &metrics,
                 Received received)
    : m_base(base)
    , m_keys(std::move(keys))
    , m_incarnation(std::move(incarnation))
    , m_received(std::move(received))
    , m_counters(metrics)
    , m_context(makeZmqContext())
    , m_server(m_context.get(),
               ZMQ_ROUTER,
               base,
               [this](const ZmqMessage &message) {
                   if (message.size() == 2) {
                       onFrame(message.front(), message.back());
                   } else {
                       m_counters.malformed.add();
                   }
               })
    , m_retirement(base, [this] { m_retired.clear(); })
{
    m_keys.check();
    m_server.set(ZMQ_HANDSHAKE_IVL, handshakeMilliseconds);
    m_server.set(ZMQ_ROUTER_HANDOVER, 1);
    const std::int64_t maxBytes = maxRequestBytes;
    m_server.set(ZMQ_MAXMSGSIZE, std::string(reinterpret_cast<const char *>(&maxBytes), sizeof(maxBytes)));
    if (!m_keys.empty()) {
        m_guard = std::make_unique<CurveGuard>(m_context.get(), base, m_keys.fleetKey);
        serveCurve(m_server, m_keys);
        watchHandshakes();
    }
    m_server.bind(transport + listen.text());
    m_address = net::Address::parse(m_server.boundEndpoint().substr(transport.size()));
}

void PeerHub::watchHandshakes()
{
    m_server.monitor(monitorEndpoint, handshakeFailures);
    m_monitor = std::make_unique<ZmqSocket>(
        m_context.get(), ZMQ_PAIR, m_base, [this](const ZmqMessage &) { m_counters.wrongKey.add(); });
    m_monitor->connect(monitorEndpoint);
}

void PeerHub::setPeers(const std::map<std::string, net::Address> &peers)
{
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto peer = peers.find(link->first);
        if (peer != peers.end() && peer->second.text() == link->second->address().text()) {
            ++link;
            continue;
        }
        m_retired.push_back(std::move(link->second));
        link = m_links.erase(link);
    }
    m_retirement.startOnce({});
}

bool PeerHub::send(const std::string &incarnation, const net::Address &address, wire::Frame frame, base::TimePoint now)
{
    auto &link = m_links[incarnation];
    if (!link) {
        const auto received = [this](const std::string &bytes) {
            onFrame({}, bytes);
        };
        link = std::make_unique<PeerLink>(m_context.get(), m_base, address, m_keys, m_counters, received);
    }
    return link->send(seal(frame), now);
}

bool PeerHub::answer(const Origin &origin, wire::Frame frame)
{
    const auto bytes = seal(frame);
    if (!m_server.send({origin.route, bytes})) {
        m_counters.dropped.add();
        return false;
    }
    m_counters.framesSent.add();
    m_counters.bytesSent.add(bytes.size());
    return true;
}

void PeerHub::replaceSilentLinks(base::TimePoint now, base::Duration silence)
{
    for (const auto &[incarnation, link] : m_links) {
        link->replaceIfSilent(now, silence);
    }
}

std::string PeerHub::seal(wire::Frame &frame)
{
    frame.set_protocol(protocolVersion);
    frame.set_sender(m_incarnation);
    frame.set_sequence(++m_sequence);
    return frameBytes(frame);
}

void PeerHub::onFrame(const std::string &route, const std::string &bytes)
{
    m_counters.framesReceived.add();
    m_counters.bytesReceived.add(bytes.size());
    const auto parsed = parseFrame(bytes);
    if (const auto *fault = std::get_if<FrameFault>(&parsed)) {
        (*fault == FrameFault::Malformed ? m_counters.malformed : m_counters.otherProtocol).add();
        return;
    }
    const auto &frame = std::get<wire::Frame>(parsed);
    if (isReplay(route, frame)) {
        m_counters.replayed.add();
        return;
    }
    m_received({frame.sender(), route}, frame);
}

bool PeerHub::isReplay(const std::string &route, const wire::Frame &frame)
{
    if (m_seen.size() >= maxSenders) {
        m_seen.clear();
    }
    auto &seen = m_seen[{frame.sender(), route.empty()}];
    if (frame.sequence() <= seen) {
        return true;
    }
    seen = frame.sequence();
    return false;
}

} // namespace ibisfork::peer
