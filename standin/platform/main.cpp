#include <csignal>
#include <iostream>
#include <map>
#include <memory>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "net/httpserver.h"
#include "net/timer.h"
#include "table.h"

namespace {

using namespace ibisfork;
using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

/// Faults that tests ask for with PUT /faults.
struct Faults
{
    bool down = false;
    bool loseCommitAnswers = false;
    std::chrono::milliseconds delay{0};
};

void answer(net::HttpReply &reply, int status, const Json &json)
{
    net::HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    reply.send(status, headers, json.dump());
}

/// Stands in for the platform: table, object store, VM list and ratings.
class Platform
{
public:
    Platform(event_base *base, const net::Address &address)
        : m_base(base)
        , m_server(base, address, {}, [this](const net::HttpServerRequest &request) { onRequest(request); })
    { }

    const net::Address &address() const { return m_server.address(); }

private:
    void onRequest(const net::HttpServerRequest &request)
    {
        if (request.request.path == "/faults" || m_faults.delay.count() == 0) {
            serve(request);
            return;
        }
        const auto call = m_nextDelayed++;
        m_delayed[call] = std::make_unique<net::Timer>(m_base, [this, call, request] {
            m_delayed.erase(call);
            serve(request);
        });
        m_delayed[call]->startOnce(m_faults.delay);
    }

    void serve(const net::HttpServerRequest &request)
    {
        try {
            route(request);
        } catch (const Json::exception &error) {
            answer(*request.reply, statusBadRequest, {{"error", error.what()}});
        }
    }

    void route(const net::HttpServerRequest &request)
    {
        const auto &path = request.request.path;
        const auto &body = request.request.body;
        if (path == "/faults") {
            setFaults(Json::parse(body));
            answer(*request.reply, statusOk, Json::object());
        } else if (m_faults.down) {
            answer(*request.reply, statusUnavailable, {{"error", "the platform is down"}});
        } else if (path == "/v1/table/commit") {
            commit(*request.reply, Json::parse(body));
        } else if (path == "/v1/table/read") {
            ++m_reads;
            answer(*request.reply, statusOk, m_table.read(Json::parse(body)));
        } else if (path.starts_with("/v1/objects/")) {
            serveObject(request);
        } else if (path == "/v1/vms") {
            serveValue(request, m_vms);
        } else if (path.starts_with("/v1/ratings")) {
            serveRatings(request);
        } else if (path == "/counts") {
            answer(*request.reply, statusOk, {{"reads", m_reads}, {"commits", m_commits}});
        } else {
            answer(*request.reply, statusNotFound, {{"error", "there is nothing at this path"}});
        }
    }

    void setFaults(const Json &faults)
    {
        m_faults.down = faults.value("down", false);
        m_faults.loseCommitAnswers = faults.value("lose_commit_answers", false);
        m_faults.delay = std::chrono::milliseconds(faults.value("delay_ms", 0));
    }

    void commit(net::HttpReply &reply, const Json &transaction)
    {
        ++m_commits;
        const bool committed = m_table.commit(transaction);
        if (m_faults.loseCommitAnswers) {
            reply.abort();
            return;
        }
        answer(reply, committed ? statusOk : statusConflict, {{"committed", committed}});
    }

    void serveObject(const net::HttpServerRequest &request)
    {
        auto &object = m_objects[request.request.path];
        if (request.request.method == net::HttpMethod::Put) {
            object = request.request.body;
        }
        net::HttpHeaders headers;
        headers.add("Content-Type", "application/octet-stream");
        request.reply->send(object.empty() ? statusNotFound : statusOk, headers, object);
    }

    /// PUT replaces the value, GET gives it.
    static void serveValue(const net::HttpServerRequest &request, Json &value)
    {
        if (request.request.method == net::HttpMethod::Put) {
            value = Json::parse(request.request.body);
        }
        answer(*request.reply, statusOk, value);
    }

    /// POST adds a rating, GET gives those after the position asked for.
    void serveRatings(const net::HttpServerRequest &request)
    {
        if (request.request.method == net::HttpMethod::Post) {
            m_ratings.push_back(Json::parse(request.request.body));
            answer(*request.reply, statusOk, Json::object());
            return;
        }
        const auto equals = request.request.path.find("after=");
        const auto after = equals == std::string::npos ? 0 : std::stoul(request.request.path.substr(equals + 6));
        Json ratings = Json::array();
        for (auto index = after; index < m_ratings.size(); ++index) {
            ratings.push_back(m_ratings[index]);
        }
        answer(*request.reply, statusOk, {{"ratings", ratings}, {"next", m_ratings.size()}});
    }

    event_base *m_base;
    Faults m_faults;
    standin::Table m_table;
    std::map<std::string, std::string> m_objects;
    Json m_vms = {{"vms", Json::array()}};
    Json m_ratings = Json::array();
    std::uint64_t m_reads = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_nextDelayed = 0;
    std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_delayed;
    net::HttpServer m_server;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("standin-platform", "Stands in for the platform's services.");
        options.add_options()("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
        const auto arguments = options.parse(argc, argv);
        const auto base = net::makeEventBase();
        const Platform platform(base.get(), net::Address::parse(arguments["listen"].as<std::string>()));
        std::cout << "listening " << platform.address().text() << std::endl;
        event_base_dispatch(base.get());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 1;
    }
}
