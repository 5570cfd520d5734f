#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakestore.h"
#include "gateway/callerport.h"
#include "gateway/gateway.h"
#include "http/callerconnection.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"
#include <gtest/gtest.h>

namespace ibisfork::gateway::test {

/// A test whose objects run on a loop of its own.
class LoopTest : public testing::Test
{
protected:
    LoopTest();

    /// Runs the loop until @p condition holds; false after @p within.
    bool until(const std::function<bool()> &condition, base::Duration within = std::chrono::seconds(5));
    void runFor(base::Duration time);

    net::EventBasePtr m_base;
};

/// What a stand-in of an engine does with one request.
struct EngineReply
{
    /// Sent as they are; "ID" stands for the request's id.
    std::string bytes;
    /// Then the connection is closed, or reset.
    bool close = false;
    bool reset = false;
};

EngineReply plainReply(int status,
                       const std::string &body,
                       const std::string &moreHeaders = "Ibisfork-Response-Seal: s\r\n");
EngineReply refusal(int status);
/// A whole stream of events @p from to @p to.
EngineReply streamReply(int from, int to);
/// The same, broken off behind the last event and half of another.
EngineReply brokenStream(int from, int to);

/// Takes requests and answers them with bytes of the test's choice.
class FakeEngine
{
public:
    explicit FakeEngine(event_base *base);
    ~FakeEngine();

    net::Address address() const { return m_port.address(); }
    /// Replies for the requests to come, in order; the last one serves all further requests.
    void willReply(std::deque<EngineReply> replies) { m_replies = std::move(replies); }
    /// The reply to requests that go on behind an event.
    void willResumeWith(EngineReply reply) { m_resumeReply = std::move(reply); }
    const std::vector<http::Request> &requests() const { return m_requests; }
    std::size_t open() const { return m_connections.size(); }

private:
    class Connection;

    void accept(evutil_socket_t socket);
    EngineReply nextReply(const http::Request &request);

    event_base *m_base;
    std::deque<EngineReply> m_replies;
    std::optional<EngineReply> m_resumeReply;
    std::vector<http::Request> m_requests;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    ListeningPort m_port;
};

/// An answer as a caller sees it.
struct Answer
{
    int status = 0;
    http::HeaderList headers;
    std::string body;
    bool complete = false;
    bool broken = false;
};

/// Sends one request on a connection of its own.
class FakeCaller
{
public:
    FakeCaller(event_base *base, const net::Address &address);

    void send(const std::string &bytes);
    const Answer &answer() const { return m_answer; }
    bool done() const { return m_answer.complete || m_answer.broken; }
    void leave();

private:
    event_base *m_base;
    std::unique_ptr<http::UpstreamConnection> m_connection;
    Answer m_answer;
};

} // namespace ibisfork::gateway::test
