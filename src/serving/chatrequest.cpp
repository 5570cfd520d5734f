#include "serving/chatrequest.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::serving {

using Json = nlohmann::json;

namespace {

template<typename Number>
Number parseNumber(const std::string &text, const char *message)
{
    Number number = 0;
    const auto *last = text.data() + text.size();
    const auto result = std::from_chars(text.data(), last, number);
    if (result.ec != std::errc() || result.ptr != last) {
        throw RequestError(message);
    }
    return number;
}

} // namespace

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

int parsePriority(const net::HttpHeaders &headers, int maxPriority)
{
    const auto text = headers.find("X-Priority");
    if (!text) {
        return maxPriority;
    }
    return std::min(maxPriority, parseNumber<int>(*text, "X-Priority must be a whole number"));
}

base::Duration parseDeadline(const net::HttpHeaders &headers, base::Duration maxDeadline)
{
    const auto text = headers.find("X-Deadline-Ms");
    if (!text) {
        return maxDeadline;
    }
    const char *message = "X-Deadline-Ms must be a positive number of milliseconds";
    const auto milliseconds = parseNumber<std::uint32_t>(*text, message);
    if (milliseconds == 0) {
        throw RequestError(message);
    }
    return std::min(maxDeadline, base::Duration(std::chrono::milliseconds(milliseconds)));
}

} // namespace ibisfork::serving
