#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "gateway/connectionroom.h"
#include "gateway/exchange.h"
#include "http/callerconnection.h"

namespace ibisfork::gateway {

/// Serves callers: accepts their connections and owns these and the exchanges on them.
class CallerPort
{
public:
    /// @p origin: who sends requests to @p address.
    CallerPort(Context &context, const net::Address &address, RequestOrigin origin, const ConnectionShare &share);
    ~CallerPort();

    net::Address address() const { return m_room.address(); }
    /// True once connections are accepted.
    bool isOpen() const { return m_room.isOpen(); }
    /// Number of requests in progress.
    std::size_t exchanges() const { return m_exchanges.size(); }
    /// Number of open caller connections.
    std::size_t connections() const { return m_room.size(); }
    /// Closes the connections that have no request in progress.
    void closeIdle();
    /// Refuses the requests that are not whole yet.
    void refuseUnfinished();
    /// Ends all exchanges because the node shuts down.
    void abortAll();
    /// Ends the exchanges whose requests are now known to crash engines and have not begun to be answered.
    void endPoison();

private:
    std::unique_ptr<http::CallerConnection> accept(evutil_socket_t socket);
    /// What the configuration in force allows on a connection.
    http::CallerBounds bounds() const;
    /// Counts the end of a connection, and logs it if a request or an answer was under way.
    void recordEnd(const http::ConnectionEnd &end) const;
    void begin(http::CallerConnection &connection, http::Request request);
    /// Answers that the node has no room for another connection.
    void refuse(http::CallerConnection &connection) const;
    void removeConnection(http::CallerConnection &connection);
    void end(http::CallerConnection &connection);
    /// The exchanges in progress. Each may end, but is not destroyed, while it is called.
    std::vector<Exchange *> allExchanges() const;

    Context &m_context;
    RequestOrigin m_origin;
    ConnectionRoom m_room;
    std::map<http::CallerConnection *, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace ibisfork::gateway
