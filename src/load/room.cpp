#include "load/room.h"

#include <algorithm>

namespace ibisfork::load {

namespace {

/// An engine's own queue has one place for this many of its slots.
constexpr std::uint32_t slotsPerQueuePlace = 4;

std::uint32_t placesOf(const Occupancy &occupancy, const RoomLimit &limit)
{
    const auto slots = std::max(1U, occupancy.slots);
    return limit.mayWaitAtEngine ? slots + std::max(1U, slots / slotsPerQueuePlace) : slots;
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
