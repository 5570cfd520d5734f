#include "ctl/nodeclient.h"

#include <fmt/format.h>

#include "net/httpcall.h"

namespace ibisfork::ctl {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::seconds callTimeout{10};

} // namespace

NodeClient::NodeClient(net::Address address)
    : m_address(std::move(address))
{ }

Json NodeClient::get(const std::string &path) const
{
    net::HttpRequest request;
    request.path = path;
    return call(std::move(request));
}

Json NodeClient::post(const std::string &path, const Json &body) const
{
    net::HttpRequest request;
    request.method = net::HttpMethod::Post;
    request.path = path;
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump();
    return call(std::move(request));
}

Json NodeClient::call(net::HttpRequest request) const
{
    const auto base = net::makeEventBase();
    std::variant<net::HttpResponse, net::HttpFailure> answer = net::HttpFailure{};
    const auto running = net::fetch(base.get(), m_address, std::move(request), callTimeout, [&](const auto &outcome) {
        answer = outcome;
        event_base_loopbreak(base.get());
    });
    event_base_dispatch(base.get());
    const auto *response = std::get_if<net::HttpResponse>(&answer);
    if (response == nullptr) {
        throw NodeError(fmt::format("the node at {} does not answer", m_address.text()));
    }
    Json json = Json::parse(response->body, nullptr, false);
    if (response->head.status != statusOk || json.is_discarded()) {
        throw NodeError(fmt::format("the node answered {}: {}", response->head.status, response->body));
    }
    return json;
}

} // namespace ibisfork::ctl
