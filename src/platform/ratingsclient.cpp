#include "platform/ratingsclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;

std::optional<Rating> ratingFrom(const Json &json)
{
    try {
        return Rating{json.value("request", std::string()),
                      json.value("workspace", std::string()),
                      json.at("version").get<std::string>(),
                      json.value("judge", std::string()),
                      json.at("score").get<double>()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<RatingsPage> pageFrom(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        RatingsPage page;
        page.next = json.at("next").get<std::uint64_t>();
        // A rating that can't be read must not hold up those after it.
        for (const auto &entry : json.at("ratings")) {
            if (auto rating = ratingFrom(entry)) {
                page.ratings.push_back(std::move(*rating));
            }
        }
        return page;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

RatingsClient::RatingsClient(event_base *base, net::Address address, base::Duration timeout)
    : m_base(base)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

void RatingsClient::read(std::uint64_t position, const std::function<void(std::optional<RatingsPage>)> &done)
{
    if (m_call) {
        return;
    }
    net::HttpRequest request;
    request.path = fmt::format("/v1/ratings?after={}", position);
    m_call = net::fetch(m_base, m_address, std::move(request), m_timeout, [this, done](const auto &answer) {
        const auto finished = std::move(m_call);
        const auto *response = std::get_if<net::HttpResponse>(&answer);
        done(response != nullptr && response->head.status == statusOk ? pageFrom(response->body) : std::nullopt);
    });
}

} // namespace ibisfork::platform
