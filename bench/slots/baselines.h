#pragma once

namespace ibisfork::bench {

/// Prints a table that compares slots with static division and with each node on its own, in virtual time.
void compareBaselines(unsigned seed);

} // namespace ibisfork::bench
