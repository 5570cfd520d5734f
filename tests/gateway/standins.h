#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakestore.h"
#include "gateway/callerport.h"
#include "gateway/gateway.h"
#include "hangingport.h"
#include "http/callerconnection.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"
#include <gtest/gtest.h>

namespace ibisfork::gateway::test {

/// Test fixture with its own event loop.
class LoopTest : public testing::Test
{
protected:
    LoopTest();

    /// Runs the loop until @p condition holds; false if it does not hold within @p within.
    bool until(const std::function<bool()> &condition, base::Duration within = std::chrono::seconds(5));
    /// Runs the loop for @p time.
    void runFor(base::Duration time);

    net::EventBasePtr m_base;
};

/// How a fake engine answers one request.
struct EngineReply
{
    /// Response bytes, sent unchanged except that "ID" is replaced by the request's id; empty sends nothing.
    std::string bytes;
    /// Closes the connection after the bytes are sent.
    bool close = false;
    /// Resets the connection after the bytes are sent.
    bool reset = false;
    /// Time from the request to the response.
    std::chrono::milliseconds delay{0};
    /// Bytes sent after a pause that follows @c bytes, in the same way; empty sends nothing more.
    std::string rest{};
    std::chrono::milliseconds pause{0};
    /// Sends one byte of @c rest after each pause.
    bool isRestByteByByte = false;
};

/// A response with a body of known length, signed unless @p moreHeaders says otherwise.
EngineReply plainReply(int status,
                       const std::string &body,
                       const std::string &moreHeaders = "Ibisfork-Response-Seal: s\r\n");
/// A response stating that the request was not executed.
EngineReply refusal(int status);
/// A complete stream with the events @p from to @p to.
EngineReply streamReply(int from, int to);
/// The same stream, closed in the middle of the event after @p to.
EngineReply brokenStream(int from, int to);
/// A complete stream with the events @p from to @p to, with a pause of @p pause after the event @p last.
EngineReply pausingStream(int from, int last, int to, std::chrono::milliseconds pause);
/// @p reply with one more field of its head, such as "Name: value".
EngineReply withHeader(EngineReply reply, const std::string &field);
/// The answer to a call that reserves room: granted as @p reservation.
EngineReply reservationReply(const std::string &reservation);
/// Body of a whole stream with the events @p from to @p to, as a caller gets it.
std::string streamBody(int from, int to);

/// The entry that an engine of the service "s" writes to the platform's list of engines.
nlohmann::json engineEntry(const net::Address &address);

/// Number of calls to the store that the process with @p metrics has made, of one cause.
std::uint64_t storeCalls(base::MetricsRegistry &metrics, StoreCallCause cause);
/// As above, of all causes.
std::uint64_t storeCalls(base::MetricsRegistry &metrics);

/// Accepts requests and answers them with replies set by the test.
class FakeEngine
{
public:
    explicit FakeEngine(event_base *base);
    ~FakeEngine();

    net::Address address() const { return m_address; }
    /// Sets the replies to the next requests, in order; the last one is repeated for all further requests.
    void willReply(std::deque<EngineReply> replies) { m_replies = std::move(replies); }
    /// Sets the reply to requests that resume a stream after an event.
    void willResumeWith(EngineReply reply) { m_resumeReply = std::move(reply); }
    /// Chooses the reply to each request; goes before the replies set otherwise.
    void willDecide(std::function<EngineReply(const http::Request &)> decide) { m_decide = std::move(decide); }
    /// Sets the reply to all calls that reserve room; without one, none is granted.
    void willReserve(EngineReply reply) { m_reservationReply = std::move(reply); }
    /// Calls that reserve room, received so far; they are not among the requests.
    std::size_t reservationCalls() const { return m_reservationCalls; }
    /// Refuses new connections from now on; those that are open live on.
    void refuseConnections()
    {
        m_port.reset();
        m_refusingPort.emplace(m_address);
    }
    /// Ends all connections and refuses new ones, as the end of a process does.
    void crash();
    /// Accepts connections again, at the same address.
    void acceptConnections();
    /// All requests received so far.
    const std::vector<http::Request> &requests() const { return m_requests; }
    /// Number of open connections.
    std::size_t open() const { return m_connections.size(); }

private:
    class Connection;

    void listen(const net::Address &address);
    void accept(evutil_socket_t socket);
    EngineReply nextReply(const http::Request &request);

    event_base *m_base;
    std::deque<EngineReply> m_replies;
    std::optional<EngineReply> m_resumeReply;
    std::optional<EngineReply> m_reservationReply;
    std::size_t m_reservationCalls = 0;
    std::function<EngineReply(const http::Request &)> m_decide;
    std::vector<http::Request> m_requests;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<ListeningPort> m_port;
    std::optional<RefusingPort> m_refusingPort;
    net::Address m_address;
};

/// A response as received by a caller.
struct Answer
{
    int status = 0;
    http::HeaderList headers;
    std::string body;
    bool complete = false;
    /// The connection failed before the response was complete.
    bool broken = false;
};

/// Fake caller: sends one request at a time on its own connection.
class FakeCaller
{
public:
    FakeCaller(event_base *base, const net::Address &address);

    void send(const std::string &bytes);
    const Answer &answer() const { return m_answer; }
    bool done() const { return m_answer.complete || m_answer.broken; }
    /// Closes the connection.
    void leave();

private:
    event_base *m_base;
    std::unique_ptr<http::UpstreamConnection> m_connection;
    Answer m_answer;
};

} // namespace ibisfork::gateway::test
