#include <iostream>
#include <map>
#include <random>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "net/httpserver.h"

namespace {

using namespace ibisfork;
using Json = nlohmann::json;

constexpr int statusOk = 200;

/// Stands in for a plain service and counts the effect of each call.
class Service
{
public:
    Service(event_base *base, const net::Address &address)
        : m_server(base, address, {}, [this](const net::HttpServerRequest &request) { onRequest(request); })
    { }

    const net::Address &address() const { return m_server.address(); }

private:
    void onRequest(const net::HttpServerRequest &request)
    {
        net::HttpHeaders headers;
        headers.add("Content-Type", "application/json");
        if (request.request.path == "/counts") {
            request.reply->send(statusOk, headers, Json(m_effects).dump());
            return;
        }
        if (request.request.path == "/faults") {
            m_faults = Json::parse(request.request.body);
            request.reply->send(statusOk, headers, "{}");
            return;
        }
        if (request.request.path == "/v1/load") {
            const Json load{{"incarnation", m_incarnation}, {"running", 0}, {"age_ms", 0}};
            request.reply->send(statusOk, headers, load.dump());
            return;
        }
        const auto key = request.request.headers.find("Idempotency-Key").value_or("no-key");
        if (request.request.method != net::HttpMethod::Get) {
            ++m_effects[key];
        }
        if (m_faults.value("lose_answers", false)) {
            request.reply->abort();
            return;
        }
        const Json body{{"path", request.request.path}, {"key", key}, {"body", request.request.body}};
        request.reply->send(statusOk, headers, body.dump());
    }

    Json m_faults = Json::object();
    std::string m_incarnation = std::to_string(std::random_device{}());
    std::map<std::string, unsigned> m_effects;
    net::HttpServer m_server;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("standin-service", "Stands in for a plain service.");
        options.add_options()("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
        const auto arguments = options.parse(argc, argv);
        const auto base = net::makeEventBase();
        const Service service(base.get(), net::Address::parse(arguments["listen"].as<std::string>()));
        std::cout << "listening " << service.address().text() << std::endl;
        event_base_dispatch(base.get());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-service: " << error.what() << '\n';
        return 1;
    }
}
