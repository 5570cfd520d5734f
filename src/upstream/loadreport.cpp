#include "upstream/loadreport.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace ibisfork::upstream {

using Json = nlohmann::json;

namespace {

/// Larger counts of running requests are clamped to this.
constexpr std::uint64_t maxRunning = 1000000;
/// Age of a report without the field age_ms.
constexpr std::chrono::milliseconds assumedAge{2000};

/// Returns the unsigned integer in @p value; throws a Json::exception for any other JSON type.
std::uint64_t unsignedFrom(const Json &value)
{
    if (!value.is_number_unsigned()) {
        throw Json::other_error::create(501, "a count is not a whole number", &value);
    }
    return value.get<std::uint64_t>();
}

/// Longer durations are clamped to this.
constexpr std::chrono::milliseconds maxDuration = std::chrono::hours(24);

/// Returns a duration given as an unsigned count of milliseconds; throws a Json::exception for any other JSON type.
std::chrono::milliseconds millisecondsFrom(const Json &value)
{
    const auto count = std::min<std::uint64_t>(unsignedFrom(value), static_cast<std::uint64_t>(maxDuration.count()));
    return std::chrono::milliseconds(count);
}

} // namespace

std::optional<LoadReport> parseLoadReport(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        LoadReport report;
        report.incarnation = json.at("incarnation").get<std::string>();
        report.running
            = static_cast<std::uint32_t>(std::min<std::uint64_t>(unsignedFrom(json.at("running")), maxRunning));
        if (json.contains("uptime_ms")) {
            report.uptime = millisecondsFrom(json["uptime_ms"]);
        }
        report.age = json.contains("age_ms") ? millisecondsFrom(json["age_ms"]) : assumedAge;
        report.draining = json.value("leaving", false);
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace ibisfork::upstream
