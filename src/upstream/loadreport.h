#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::upstream {

/// What an upstream says of its own load, some time ago.
struct LoadReport
{
    std::string incarnation;
    /// Requests that ran there, from all nodes.
    std::uint32_t running = 0;
    /// Time since its start when the report was made; nothing if it doesn't say.
    std::optional<base::Duration> uptime;
    /// How old the report was when it was sent.
    base::Duration age{};
    /// Whether it takes no new work since it is about to go.
    bool leaving = false;
};

/// Reads the body of an answer to GET /v1/load; nothing if it can't be read.
std::optional<LoadReport> parseLoadReport(const std::string &body);

} // namespace ibisfork::upstream
