#include "peer/curve.h"

#include <array>

#include "peer/exceptions.h"

namespace ibisfork::peer {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t keyLength = 40;
constexpr const char *authenticationEndpoint = "inproc://zeromq.zap.01";
constexpr const char *authenticationDomain = "fleet";

/// Parts of a request of the ZeroMQ Authentication Protocol, ZMQ RFC 27.
enum RequestPart : std::size_t { Version, RequestId, Domain, PeerAddress, Identity, Mechanism, Credentials, PartCount };

std::string decoded(const std::string &key)
{
    std::string bytes(keyBytes, '\0');
    if (key.size() != keyLength
        || zmq_z85_decode(reinterpret_cast<std::uint8_t *>(bytes.data()), key.c_str()) == nullptr) {
        throw PeerError(errormessage::badKey);
    }
    return bytes;
}

} // namespace

void CurveKeys::check() const
{
    if (empty()) {
        return;
    }
    if (zmq_has("curve") == 0) {
        throw PeerError(errormessage::noCurve);
    }
    for (const auto *key : {&publicKey, &secretKey, &fleetKey}) {
        decoded(*key);
    }
}

CurveKeys newCurveKeys()
{
    std::array<char, keyLength + 1> publicKey{};
    std::array<char, keyLength + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        throw PeerError(errormessage::noCurve);
    }
    return {publicKey.data(), secretKey.data(), publicKey.data()};
}

CurveGuard::CurveGuard(void *context, event_base *base, const std::string &fleetKey)
    : m_fleetKey(decoded(fleetKey))
    , m_socket(context, ZMQ_REP, base, [this](const ZmqMessage &request) { answer(request); })
{
    m_socket.bind(authenticationEndpoint);
}

void CurveGuard::answer(const ZmqMessage &request)
{
    const bool allowed
        = request.size() == PartCount && request[Mechanism] == "CURVE" && request[Credentials] == m_fleetKey;
    const std::string id = request.size() > RequestId ? request[RequestId] : std::string();
    m_socket.send({"1.0", id, allowed ? "200" : "400", allowed ? "OK" : "not the fleet's key", "", ""});
}

void serveCurve(ZmqSocket &socket, const CurveKeys &keys)
{
    socket.set(ZMQ_CURVE_SERVER, 1);
    socket.set(ZMQ_CURVE_SECRETKEY, keys.secretKey);
    socket.set(ZMQ_ZAP_DOMAIN, std::string(authenticationDomain));
}

void connectCurve(ZmqSocket &socket, const CurveKeys &keys)
{
    socket.set(ZMQ_CURVE_SERVERKEY, keys.fleetKey);
    socket.set(ZMQ_CURVE_PUBLICKEY, keys.publicKey);
    socket.set(ZMQ_CURVE_SECRETKEY, keys.secretKey);
}

} // namespace ibisfork::peer
