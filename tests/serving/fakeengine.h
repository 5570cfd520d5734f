#pragma once

#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// How a scripted response of the fake engine ends: complete, by an aborted connection, silent on an open connection,
/// or at a regular end without the last event.
enum class FakeEnd { Whole, Cut, Silent, EndWithoutLast };

/// A scripted response of the fake engine to one request.
struct FakeAnswer
{
    std::vector<std::string> events;
    FakeEnd end = FakeEnd::Whole;
    int status = 200;
    std::string incarnation = "i1";
    std::string streamId = "s1";
    std::string requestId;
    /// Sends no response head, not even a status.
    bool withoutHead = false;
};

inline std::string tokenEvent(unsigned offset, const std::string &text)
{
    return fmt::format("id: {}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n", offset, text);
}

inline std::string endEvent(unsigned tokens)
{
    return fmt::format("event: end\ndata: {{\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{}}}}}\n\n", tokens);
}

/// An engine that answers generation and resume requests from a script, in order, and counts requests.
class FakeEngine
{
public:
    explicit FakeEngine(event_base *base)
        : m_server(base, {"127.0.0.1", 0}, {}, [this](const net::HttpServerRequest &request) { onRequest(request); })
        , m_cutTimer(base, [this] { cutWritten(); })
    { }

    std::string address() const { return m_server.address().text(); }

    std::vector<FakeAnswer> script;
    std::string loadIncarnation = "i1";
    int cancelStatus = 200;
    /// Accepts connections and never responds, as a process stopped by SIGSTOP does.
    bool stopped = false;
    unsigned runs = 0;
    unsigned cancels = 0;
    std::vector<std::string> resumePaths;

private:
    void onRequest(const net::HttpServerRequest &request)
    {
        const auto &path = request.request.path;
        if (stopped) {
            m_replies.push_back(request.reply);
        } else if (path == "/v1/load") {
            request.reply->send(200, {}, nlohmann::json{{"incarnation", loadIncarnation}}.dump());
        } else if (request.request.method == net::HttpMethod::Delete) {
            ++cancels;
            request.reply->send(cancelStatus, {}, "{}");
        } else {
            if (path == "/v1/chat/completions") {
                ++runs;
            } else {
                resumePaths.push_back(path);
            }
            answer(request.reply);
        }
    }

    void answer(const std::shared_ptr<net::HttpReply> &reply)
    {
        if (m_next >= script.size()) {
            reply->send(404, {}, "{}");
            return;
        }
        const auto &step = script[m_next++];
        if (!step.withoutHead) {
            net::HttpHeaders headers;
            headers.add("X-Incarnation", step.incarnation);
            headers.add("X-Stream-Id", step.streamId);
            if (!step.requestId.empty()) {
                headers.add("X-Request-Id", step.requestId);
            }
            reply->start(step.status, headers);
        }
        for (const auto &event : step.events) {
            reply->chunk(event);
        }
        m_replies.push_back(reply);
        finish(*reply, step.end);
    }

    void finish(net::HttpReply &reply, FakeEnd end)
    {
        if (end == FakeEnd::Whole || end == FakeEnd::EndWithoutLast) {
            reply.end();
        } else if (end == FakeEnd::Cut) {
            m_cutting.push_back(&reply);
            m_cutTimer.startEvery(std::chrono::milliseconds(1));
        }
    }

    /// Aborts connections once all scripted bytes have been written.
    void cutWritten()
    {
        std::erase_if(m_cutting, [](net::HttpReply *reply) {
            const bool written = reply->bufferedBytes() == 0;
            if (written) {
                reply->abort();
            }
            return written;
        });
    }

    /// Declared before the replies, so that it outlives them.
    net::HttpServer m_server;
    std::size_t m_next = 0;
    net::Timer m_cutTimer;
    std::vector<net::HttpReply *> m_cutting;
    std::vector<std::shared_ptr<net::HttpReply>> m_replies;
};

} // namespace ibisfork::serving
