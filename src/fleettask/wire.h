#pragma once

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>

#include "peer/peer.pb.h"

namespace ibisfork::fleettask {

void toWire(const coord::Change &change, peer::wire::Change &wire);
coord::Change fromWire(const peer::wire::Change &wire);
void toWire(const coord::Snapshot &snapshot, peer::wire::Snapshot &wire);
coord::Snapshot fromWire(const peer::wire::Snapshot &wire);

/// Microseconds from @p asOf to @p now, rounded up so that nothing gets younger.
std::uint64_t ageOf(base::TimePoint asOf, base::TimePoint now);
/// The instant that lies @p age microseconds before @p askedAt; the clock's beginning at the earliest.
base::TimePoint instantOf(std::uint64_t age, base::TimePoint askedAt);

} // namespace ibisfork::fleettask
