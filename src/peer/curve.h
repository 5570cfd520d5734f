#pragma once

#include <string>

#include "peer/zmqsocket.h"

namespace ibisfork::peer {

/// The fleet's CURVE keys in Z85. All empty: no encryption.
struct CurveKeys
{
    std::string publicKey;
    std::string secretKey;
    /// Public key that the other side must show.
    std::string fleetKey;

    bool empty() const { return publicKey.empty() && secretKey.empty() && fleetKey.empty(); }
    /// Throws PeerError if a key is not of the form.
    void check() const;
};

/// Makes new keys for a fleet, of one public key.
CurveKeys newCurveKeys();

/// Lets only sockets through that show the fleet's key. One for each context, made before its sockets.
class CurveGuard
{
public:
    CurveGuard(void *context, event_base *base, const std::string &fleetKey);

private:
    void answer(const ZmqMessage &request);

    std::string m_fleetKey;
    ZmqSocket m_socket;
};

void serveCurve(ZmqSocket &socket, const CurveKeys &keys);
void connectCurve(ZmqSocket &socket, const CurveKeys &keys);

} // namespace ibisfork::peer
