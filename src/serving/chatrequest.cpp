#include "serving/chatrequest.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::serving {

using Json = nlohmann::json;

ChatRequest parseChatRequest(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        if (!json.is_object() || !json.contains("messages") || !json.at("messages").is_array()) {
            throw RequestError("the body must be a JSON object with a list of messages");
        }
        return {json.value("model", std::string()), json.value("stream", false), body};
    } catch (const Json::exception &error) {
        throw RequestError(fmt::format("the body can't be read: {}", error.what()));
    }
}

std::string engineBody(const ChatRequest &request, const std::string &version)
{
    Json json = Json::parse(request.body);
    json["model"] = version;
    json["stream"] = true;
    return json.dump();
}

std::string bearerKey(const net::HttpHeaders &headers)
{
    const std::string prefix = "Bearer ";
    const auto value = headers.find("Authorization").value_or("");
    return value.starts_with(prefix) ? value.substr(prefix.size()) : std::string();
}

base::Duration deadlineOf(const net::HttpHeaders &headers, base::Duration fallback)
{
    const auto text = headers.find("X-Deadline-Ms");
    if (!text) {
        return fallback;
    }
    unsigned milliseconds = 0;
    const auto *last = text->data() + text->size();
    const auto result = std::from_chars(text->data(), last, milliseconds);
    if (result.ec != std::errc() || result.ptr != last || milliseconds == 0) {
        throw RequestError("X-Deadline-Ms must be a positive number of milliseconds");
    }
    return std::min(fallback, base::Duration(std::chrono::milliseconds(milliseconds)));
}

} // namespace ibisfork::serving
