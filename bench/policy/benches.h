#pragma once

#include <nlohmann/json.hpp>

namespace ibisfork::bench {

/// Requests that a bad version answers before it is stopped, by kind of bad version, and false alarms of a sound one.
nlohmann::json exposureBench();

/// Goodput from 0.5 to 3 times capacity, by way of admission.
nlohmann::json overloadBench();

/// Cost and quality by policy of choosing versions.
nlohmann::json cascadeBench();

/// Time of one routing decision.
nlohmann::json routingBench();

} // namespace ibisfork::bench
