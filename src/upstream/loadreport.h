#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::upstream {

/// An upstream's report of its own load.
struct LoadReport
{
    std::string incarnation;
    /// Number of requests of all nodes that were running at the upstream.
    std::uint32_t running = 0;
    /// Time since the upstream's start when the report was made; empty if not reported.
    std::optional<base::Duration> uptime;
    /// Age of the report when the upstream sent it.
    base::Duration age{};
    /// Whether the upstream is about to stop and accepts no new requests.
    bool draining = false;
};

/// Parses the response body of GET /v1/load; returns nothing if the body is malformed.
std::optional<LoadReport> parseLoadReport(const std::string &body);

} // namespace ibisfork::upstream
