#pragma once

namespace ibisfork::bench {

/// Prints the time of a member change for 380 nodes and 10,000 upstreams.
void measureUpdate();

} // namespace ibisfork::bench
