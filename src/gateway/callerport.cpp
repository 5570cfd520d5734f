#include "gateway/callerport.h"

#include <array>

#include <ibisfork/base/names.h>

#include "gateway/eventlog.h"
#include "http/status.h"
#include "net/deletelater.h"

namespace ibisfork::gateway {

namespace {

/// Room for the headers that a node adds to a request that it forwards.
constexpr std::size_t forwardHeaderBytes = 512;

constexpr std::array<base::Name<RequestOrigin>, 2> originNames{{
    {RequestOrigin::Caller, "caller"},
    {RequestOrigin::Peer, "node"},
}};

/// Retry-After of a connection too many: others mostly end within some hundred milliseconds.
constexpr const char *retryAfterNoRoom = "0.50";

constexpr std::array<base::Name<http::CloseCause>, 8> closeCauseNames{{
    {http::CloseCause::CallerLeft, "caller_left"},
    {http::CloseCause::Answered, "answered"},
    {http::CloseCause::Refused, "refused"},
    {http::CloseCause::Idle, "idle"},
    {http::CloseCause::NotTaken, "not_taken"},
    {http::CloseCause::NodeStops, "node_stops"},
    {http::CloseCause::RoomNeeded, "room_needed"},
    {http::CloseCause::BrokenOff, "broken_off"},
}};

constexpr std::array<base::Name<http::ConnectionStage>, 5> stageNames{{
    {http::ConnectionStage::Unused, "unused"},
    {http::ConnectionStage::Head, "head"},
    {http::ConnectionStage::Body, "body"},
    {http::ConnectionStage::Answering, "answering"},
    {http::ConnectionStage::Sending, "sending"},
}};

} // namespace

CallerPort::CallerPort(Context &context,
                       const net::Address &address,
                       RequestOrigin origin,
                       const ConnectionShare &share)
    : m_context(context)
    , m_origin(origin)
    , m_room(context.base, address, share, [this](evutil_socket_t socket) { return accept(socket); })
{ }

CallerPort::~CallerPort() = default;

std::unique_ptr<http::CallerConnection> CallerPort::accept(evutil_socket_t socket)
{
    http::CallerConnection::Handlers handlers;
    handlers.onRequest = [this](http::CallerConnection &connection, http::Request request) {
        begin(connection, std::move(request));
    };
    handlers.onCallerLeft = [this](http::CallerConnection &connection) {
        const auto found = m_exchanges.find(&connection);
        if (found != m_exchanges.end()) {
            found->second->onCallerLeft();
        }
    };
    handlers.onDrained = [this](http::CallerConnection &connection) {
        const auto found = m_exchanges.find(&connection);
        if (found != m_exchanges.end()) {
            found->second->onCallerDrained();
        }
    };
    handlers.onClosed = [this](http::CallerConnection &connection) {
        removeConnection(connection);
    };
    return std::make_unique<http::CallerConnection>(
        m_context.base, socket, [this] { return bounds(); }, std::move(handlers), m_context.memory);
}

http::CallerBounds CallerPort::bounds() const
{
    const auto &configuration = m_context.view.configuration();
    auto bounds = configuration ? configuration->callerBounds : http::CallerBounds();
    if (m_origin == RequestOrigin::Peer) {
        bounds.maxHeadBytes += forwardHeaderBytes;
    }
    return bounds;
}

void CallerPort::begin(http::CallerConnection &connection, http::Request request)
{
    if (m_room.isBeyondShare(connection)) {
        refuse(connection);
        return;
    }
    m_room.recordUsed(connection);
    auto exchange = std::make_unique<Exchange>(
        m_context, connection, std::move(request), m_origin, [this, &connection] { end(connection); });
    auto *started = exchange.get();
    m_exchanges.emplace(&connection, std::move(exchange));
    started->begin();
}

void CallerPort::refuse(http::CallerConnection &connection) const
{
    EventLog::failure("connection_refused").field("reason", "no_descriptors").field("open", connections());
    m_context.metrics.counter("ibisfork_refused_connections_total", {{"reason", "no_descriptors"}}).add();
    http::HeaderList headers;
    headers.add("Retry-After", retryAfterNoRoom);
    connection.sendAnswer(http::status::unavailable, headers, {}, true);
}

void CallerPort::end(http::CallerConnection &connection)
{
    m_room.recordUsed(connection);
    const auto found = m_exchanges.find(&connection);
    if (found == m_exchanges.end()) {
        return;
    }
    auto exchange = std::move(found->second);
    m_exchanges.erase(found);
    net::deleteLater(m_context.base, std::move(exchange));
}

void CallerPort::removeConnection(http::CallerConnection &connection)
{
    // An exchange must not outlive the connection of its caller.
    end(connection);
    auto owned = m_room.take(connection);
    if (owned) {
        recordEnd(connection.end());
        net::deleteLater(m_context.base, std::move(owned));
    }
}

void CallerPort::recordEnd(const http::ConnectionEnd &end) const
{
    const std::string cause(base::nameOf(closeCauseNames, end.cause));
    const std::string from(base::nameOf(originNames, m_origin));
    m_context.metrics.counter("ibisfork_closed_connections_total", {{"from", from}, {"cause", cause}}).add();
    if (end.refusedWith == http::status::unavailable && !m_context.stopping) {
        m_context.metrics.counter("ibisfork_memory_refusals_total", {{"reason", "body"}}).add();
    }
    if (end.stage == http::ConnectionStage::Unused) {
        return;
    }
    const auto &configuration = m_context.view.configuration();
    EventLog::failure("connection_closed")
        .field("from", from)
        .field("cause", cause)
        .field("stage", base::nameOf(stageNames, end.stage))
        .field("refused_with", end.refusedWith)
        .field("unsent", end.unsent)
        .field("configuration", configuration ? configuration->version : 0)
        .field("stopping", m_context.stopping);
}

void CallerPort::closeIdle()
{
    for (auto *connection : m_room.all()) {
        connection->closeIfIdle(http::CloseCause::NodeStops);
    }
}

void CallerPort::refuseUnfinished()
{
    for (auto *connection : m_room.all()) {
        connection->refuseUnfinished();
    }
}

std::vector<Exchange *> CallerPort::allExchanges() const
{
    std::vector<Exchange *> all;
    for (const auto &item : m_exchanges) {
        all.push_back(item.second.get());
    }
    return all;
}

void CallerPort::abortAll()
{
    for (auto *exchange : allExchanges()) {
        exchange->abort();
    }
}

void CallerPort::endPoison()
{
    for (auto *exchange : allExchanges()) {
        exchange->endIfPoison();
    }
}

} // namespace ibisfork::gateway
