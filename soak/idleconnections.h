#pragma once

#include <memory>
#include <vector>

#include "http/upstreamconnection.h"

namespace ibisfork::soak {

/// Connections to one node that ask for nothing.
class IdleConnections
{
public:
    IdleConnections(event_base *base, const net::Address &node, std::size_t connections);
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

private:
    std::vector<std::unique_ptr<http::UpstreamConnection>> m_connections;
};

} // namespace ibisfork::soak
