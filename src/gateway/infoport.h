#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/connectionroom.h"
#include "memory/memorybudget.h"

namespace ibisfork::gateway {

struct InfoAnswer
{
    int status = 200;
    std::string body;
};

/// What the clients of a port may send, and what it is counted in.
struct InfoPortLimits
{
    std::size_t maxBodyBytes = 1024UL * 1024;
    /// False where no request needs a body; it is then read and dropped.
    bool keepsBodies = true;
    /// Apart from the budget of callers, which must not be able to keep a node from the others or from its operators.
    memory::BudgetPtr budget;
};

/// HTTP port for readiness checks, operators and other nodes. Handlers may reply at once or later.
class InfoPort
{
public:
    using Reply = std::function<void(const InfoAnswer &)>;
    using Handler = std::function<void(const http::Request &request, Reply reply)>;

    InfoPort(event_base *base,
             const net::Address &address,
             Handler handler,
             InfoPortLimits limits = {},
             const ConnectionShare &share = {});

    net::Address address() const { return m_room.address(); }
    /// True once connections are accepted.
    bool isOpen() const { return m_room.isOpen(); }

private:
    std::unique_ptr<http::CallerConnection> accept(evutil_socket_t socket);
    void handleRequest(http::CallerConnection &connection, const http::Request &request);
    void reply(http::CallerConnection *connection, std::uint64_t serial, const InfoAnswer &answer);
    void removeConnection(http::CallerConnection &connection);

    event_base *m_base;
    Handler m_handler;
    InfoPortLimits m_limits;
    /// By connection; distinguishes one from a later one at the same memory address.
    std::map<http::CallerConnection *, std::uint64_t> m_serials;
    std::uint64_t m_serial = 0;
    ConnectionRoom m_room;
};

} // namespace ibisfork::gateway
