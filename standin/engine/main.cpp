#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "generation.h"
#include "net/httpserver.h"
#include "net/timer.h"

namespace {

using namespace ibisfork;
using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int exitFellOver = 42;

/// Stands in for a model engine that batches continuously and falls over past its limit.
class Engine
{
public:
    Engine(event_base *base, const net::Address &address, const standin::EngineProfile &profile)
        : m_base(base)
        , m_profile(profile)
        , m_incarnation(fmt::format("{:08x}", std::random_device{}()))
        , m_server(base, address, {}, [this](const net::HttpServerRequest &request) { onRequest(request); })
    { }

    const net::Address &address() const { return m_server.address(); }

private:
    void onRequest(const net::HttpServerRequest &request)
    {
        const auto &path = request.request.path;
        const std::string streams = "/v1/streams/";
        if (path == "/v1/chat/completions") {
            generate(request);
        } else if (path.starts_with(streams)) {
            resume(request, path.substr(streams.size()));
        } else if (path == "/v1/load") {
            sendJson(*request.reply, statusOk, load());
        } else if (path == "/counts") {
            sendJson(*request.reply, statusOk, {{"runs", m_runs}, {"most_running", m_mostRunning}});
        } else if (path == "/faults") {
            m_faults = Json::parse(request.request.body);
            sendJson(*request.reply, statusOk, Json::object());
        } else {
            sendJson(*request.reply, statusNotFound, {{"error", "there is nothing at this path"}});
        }
    }

    void generate(const net::HttpServerRequest &request)
    {
        if (m_faults.value("refuse", false)) {
            sendJson(*request.reply, statusUnavailable, {{"error", "not run"}});
            return;
        }
        const auto requestId = request.request.headers.find("X-Request-Id").value_or("");
        ++m_runs[requestId];
        if (request.request.body.find("crash-the-engine") != std::string::npos || m_running >= bears()) {
            std::_Exit(exitFellOver);
        }
        ++m_running;
        m_mostRunning = std::max(m_mostRunning, m_running);
        // Named after the incarnation, so that another one's stream is never taken for it.
        const auto id = fmt::format("{}-{}", m_incarnation, m_nextStream++);
        const Json body = Json::parse(request.request.body, nullptr, false);
        const auto tokens = body.is_object() ? body.value("max_tokens", m_profile.tokens) : m_profile.tokens;
        m_generations[id] = std::make_unique<standin::Generation>(
            m_base, id, m_incarnation, std::max(1U, tokens), [this] { --m_running; });
        if (m_faults.contains("confidence")) {
            m_generations[id]->setConfidence(m_faults.at("confidence").get<double>());
        }
        m_generations[id]->attach(request.reply, 0);
        watch(*request.reply, id);
        // A fuller batch is a slower one.
        const auto slowdown = 1.0 + static_cast<double>(m_running) / m_profile.limit;
        const auto first = std::chrono::duration_cast<base::Duration>(m_profile.firstToken * slowdown);
        const auto between = std::chrono::duration_cast<base::Duration>(m_profile.betweenTokens * slowdown);
        m_generations[id]->start(first, between);
    }

    /// A generation whose reader is gone is kept for a resume, and goes on.
    void watch(net::HttpReply &reply, const std::string &id)
    {
        reply.onGone([this, id] {
            const auto generation = m_generations.find(id);
            if (generation != m_generations.end()) {
                generation->second->detach();
            }
        });
    }

    void resume(const net::HttpServerRequest &request, const std::string &rest)
    {
        const auto id = rest.substr(0, rest.find('?'));
        const auto generation = m_generations.find(id);
        if (generation == m_generations.end()) {
            sendJson(*request.reply, statusNotFound, {{"error", "no such stream"}});
            return;
        }
        if (request.request.method == net::HttpMethod::Delete) {
            cancel(id);
            sendJson(*request.reply, statusOk, Json::object());
            return;
        }
        const auto equals = rest.find("offset=");
        const auto offset = equals == std::string::npos ? 0 : std::stoul(rest.substr(equals + 7));
        generation->second->attach(request.reply, static_cast<unsigned>(offset));
        watch(*request.reply, id);
    }

    void cancel(const std::string &id)
    {
        if (!m_generations.at(id)->ended()) {
            --m_running;
        }
        m_generations.erase(id);
    }

    Json load() const
    {
        return {{"incarnation", m_incarnation},
                {"running", m_running},
                {"limit", bears()},
                {"uptime_ms", base::toMilliseconds(base::monotonicNow() - m_startedAt)},
                {"age_ms", 0},
                {"leaving", m_faults.value("leaving", false)}};
    }

    /// Requests at once that the engine bears by now.
    unsigned bears() const
    {
        const auto ramp = base::toSeconds(m_profile.ramp);
        const auto age = base::toSeconds(base::monotonicNow() - m_startedAt);
        if (age >= ramp) {
            return m_profile.limit;
        }
        return m_profile.cold + static_cast<unsigned>(age / ramp * (m_profile.limit - m_profile.cold));
    }

    static void sendJson(net::HttpReply &reply, int status, const Json &json)
    {
        net::HttpHeaders headers;
        headers.add("Content-Type", "application/json");
        reply.send(status, headers, json.dump());
    }

    event_base *m_base;
    standin::EngineProfile m_profile;
    std::string m_incarnation;
    base::TimePoint m_startedAt = base::monotonicNow();
    Json m_faults = Json::object();
    std::map<std::string, std::unique_ptr<standin::Generation>> m_generations;
    std::map<std::string, unsigned> m_runs;
    unsigned m_running = 0;
    unsigned m_mostRunning = 0;
    std::uint64_t m_nextStream = 0;
    net::HttpServer m_server;
};

standin::EngineProfile profileFrom(const cxxopts::ParseResult &arguments)
{
    standin::EngineProfile profile;
    profile.firstToken = std::chrono::milliseconds(arguments["first-token-ms"].as<int>());
    profile.betweenTokens = std::chrono::milliseconds(arguments["between-tokens-ms"].as<int>());
    profile.tokens = arguments["tokens"].as<unsigned>();
    profile.limit = arguments["limit"].as<unsigned>();
    profile.ramp = std::chrono::milliseconds(arguments["ramp-ms"].as<int>());
    profile.cold = std::min(profile.limit, arguments["cold"].as<unsigned>());
    return profile;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("standin-engine", "Stands in for a model engine.");
        auto add = options.add_options();
        add("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
        add("first-token-ms", "time to the first token", cxxopts::value<int>()->default_value("20"));
        add("between-tokens-ms", "time between tokens", cxxopts::value<int>()->default_value("10"));
        add("tokens", "tokens of an answer", cxxopts::value<unsigned>()->default_value("16"));
        add("limit", "requests at once past which it falls over", cxxopts::value<unsigned>()->default_value("16"));
        add("cold", "requests at once that it bears when it starts", cxxopts::value<unsigned>()->default_value("2"));
        add("ramp-ms", "time from its start until it bears its limit", cxxopts::value<int>()->default_value("0"));
        const auto arguments = options.parse(argc, argv);
        const auto base = net::makeEventBase();
        const Engine engine(
            base.get(), net::Address::parse(arguments["listen"].as<std::string>()), profileFrom(arguments));
        std::cout << "listening " << engine.address().text() << std::endl;
        event_base_dispatch(base.get());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << '\n';
        return 1;
    }
}
