#include "load/room.h"

#include <algorithm>

namespace ibisfork::load {

namespace {

/// Places in an engine's own queue, as a part of its slots.
constexpr std::uint32_t queuePart = 4;

std::uint32_t placesOf(const Occupancy &occupancy, const RoomLimit &limit)
{
    const auto slots = std::max(1U, occupancy.slots);
    return limit.mayWaitAtEngine ? slots + std::max(1U, slots / queuePart) : slots;
}

} // namespace

bool hasRoom(const Occupancy &occupancy, const RoomLimit &limit)
{
    const auto places = placesOf(occupancy, limit);
    if (!occupancy.reportAge) {
        return occupancy.own < places;
    }
    if (occupancy.requests + 1 <= places) {
        return true;
    }
    return *occupancy.reportAge >= limit.runTime && occupancy.sentSinceReport == 0 && occupancy.own < places;
}

} // namespace ibisfork::load
