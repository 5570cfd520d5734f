#pragma once

#include <map>
#include <memory>
#include <string>

#include "gateway/callerport.h"
#include "ledger.h"
#include "soakengine.h"
#include "unusualconnection.h"

namespace ibisfork::soak {

/// Requests below these paths have long bodies, or get long answers.
inline constexpr const char *longBodyPath = "/long/";
inline constexpr const char *longAnswerPath = "/big/";

/// An engine that does what HTTP allows and few engines do: it sends interim answers, answers before it has read the
/// body, sends answers without a length, and closes connections that are idle without a word.
class UnusualEngine
{
public:
    UnusualEngine(event_base *base, Ledger &ledger, EngineIdentity identity, std::uint64_t seed);
    UnusualEngine(const UnusualEngine &) = delete;
    UnusualEngine &operator=(const UnusualEngine &) = delete;

    net::Address address() const { return m_port.address(); }
    const EngineIdentity &identity() const { return m_identity; }
    bool unusual() const { return m_unusual; }
    /// From now on it does as most engines do.
    void calmDown() { m_unusual = false; }

    /// What its connections tell it.
    void ran(const std::string &id);
    void stopped(const std::string &id) { m_ledger.stopped(id, m_identity.id); }
    void answered(const std::string &id, base::TimePoint time) { m_ledger.answered(id, m_identity.id, time); }
    void broken(const std::string &what) { m_ledger.broken(m_identity.id + ": " + what); }
    void closed(UnusualConnection &connection);

private:
    void accept(evutil_socket_t socket);

    event_base *m_base;
    Ledger &m_ledger;
    EngineIdentity m_identity;
    std::uint64_t m_seed;
    bool m_unusual = true;
    std::map<UnusualConnection *, std::unique_ptr<UnusualConnection>> m_connections;
    gateway::ListeningPort m_port;
};

} // namespace ibisfork::soak
