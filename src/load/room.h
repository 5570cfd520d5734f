#pragma once

#include <cstdint>
#include <optional>

#include <ibisfork/base/clock.h>

namespace ibisfork::load {

/// How far a request may fill an engine.
struct RoomLimit
{
    /// The request may wait at the engine, whose own short queue is kept for the most urgent requests.
    bool mayWaitAtEngine = false;
    /// Time that a run of the service takes: what a report said of free slots is old by then.
    base::Duration runTime{};
};

/// What is known of the requests at an engine.
struct Occupancy
{
    /// Requests that it is expected to hold, running and waiting.
    double requests = 0;
    std::uint32_t slots = 1;
    /// Age of its last report; nothing if there is none, or an old one.
    std::optional<base::Duration> reportAge{};
    /// Requests of this node that run there, and those sent since the report.
    unsigned own = 0;
    unsigned sentSinceReport = 0;
};

/// True if an engine with @p occupancy has room for a request within @p limit. An engine that was full gets one request
/// as soon as a run may have ended there, and more once it has reported again.
bool hasRoom(const Occupancy &occupancy, const RoomLimit &limit);

} // namespace ibisfork::load
