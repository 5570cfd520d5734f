#pragma once

#include <memory>

#include "net/httpserver.h"
#include "net/timer.h"
#include "platform/tableclient.h"

#include "../../standin/platform/table.h"

namespace ibisfork::platform {

/// The stand-in's table behind HTTP on the test's own loop, with faults that a test sets.
class FakeTable
{
public:
    explicit FakeTable(event_base *base)
        : m_server(base, {"127.0.0.1", 0}, {}, [this](const net::HttpServerRequest &request) { serve(request); })
    { }

    const net::Address &address() const { return m_server.address(); }
    nlohmann::json rows(const std::string &prefix) const
    {
        return m_table.read({{"keys", nlohmann::json::array()}, {"prefix", prefix}, {"after", ""}}).at("rows");
    }
    bool write(const std::string &key, const std::string &value)
    {
        return m_table.commit(
            {{"conditions", nlohmann::json::array()}, {"writes", {{{"key", key}, {"value", value}}}}});
    }

    bool down = false;
    /// Takes calls and never answers them.
    bool silent = false;
    /// Commits of which the answer is lost after they took effect, and before they took effect.
    unsigned loseAnswers = 0;
    unsigned loseCommits = 0;
    unsigned commits = 0;
    /// Goes down after so many more commits; 0 for never.
    unsigned downAfterCommits = 0;

private:
    void serve(const net::HttpServerRequest &request)
    {
        const auto body = nlohmann::json::parse(request.request.body);
        if (silent) {
            m_unanswered.push_back(request.reply);
        } else if (down) {
            request.reply->send(503, {}, "");
        } else if (request.request.path == "/v1/table/read") {
            request.reply->send(200, {}, m_table.read(body).dump());
        } else {
            commit(*request.reply, body);
        }
    }

    void commit(net::HttpReply &reply, const nlohmann::json &transaction)
    {
        ++commits;
        if (downAfterCommits > 0 && --downAfterCommits == 0) {
            down = true;
        }
        if (loseCommits > 0) {
            --loseCommits;
            reply.abort();
            return;
        }
        const bool committed = m_table.commit(transaction);
        if (loseAnswers > 0) {
            --loseAnswers;
            reply.abort();
            return;
        }
        reply.send(committed ? 200 : 409, {}, "{}");
    }

    standin::Table m_table;
    /// Outlives the replies.
    net::HttpServer m_server;
    std::vector<std::shared_ptr<net::HttpReply>> m_unanswered;
};

/// Runs the loop until @p condition holds; false after 5 s.
inline bool runUntil(event_base *base, const std::function<bool()> &condition)
{
    bool late = false;
    net::Timer end(base, [&] { late = true; });
    end.startOnce(std::chrono::seconds(5));
    while (!condition() && !late) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    return condition();
}

} // namespace ibisfork::platform
