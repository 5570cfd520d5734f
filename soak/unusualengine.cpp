#include "unusualengine.h"

#include "net/deletelater.h"

namespace ibisfork::soak {

UnusualEngine::UnusualEngine(event_base *base, Ledger &ledger, EngineIdentity identity, std::uint64_t seed)
    : m_base(base)
    , m_ledger(ledger)
    , m_identity(std::move(identity))
    , m_seed(seed)
    , m_port(base, {"127.0.0.1", 0}, [this](evutil_socket_t socket) { accept(socket); })
{ }

void UnusualEngine::accept(evutil_socket_t socket)
{
    auto connection = std::make_unique<UnusualConnection>(m_base, socket, *this, ++m_seed);
    m_connections.emplace(connection.get(), std::move(connection));
}

void UnusualEngine::ran(const std::string &id)
{
    const auto now = base::monotonicNow();
    m_ledger.reached(id, m_identity.id);
    m_ledger.ran(id, {m_identity.id, m_identity.service, m_identity.domain, now, now, std::nullopt});
}

void UnusualEngine::closed(UnusualConnection &connection)
{
    auto found = m_connections.extract(&connection);
    if (found) {
        net::deleteLater(m_base, std::move(found.mapped()));
    }
}

} // namespace ibisfork::soak
