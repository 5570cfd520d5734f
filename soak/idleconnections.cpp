#include "idleconnections.h"

namespace ibisfork::soak {

IdleConnections::IdleConnections(event_base *base, const net::Address &node, std::size_t connections)
{
    for (std::size_t i = 0; i < connections; ++i) {
        m_connections.push_back(std::make_unique<http::UpstreamConnection>(base, node));
    }
}

} // namespace ibisfork::soak
