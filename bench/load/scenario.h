#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "net/address.h"

namespace ibisfork::bench {

/// One kind of load: how often, for how long, with whose key.
struct Phase
{
    std::string name;
    double requestsPerSecond = 10.0;
    std::chrono::milliseconds length{5000};
};

/// An open-loop load: requests start at their times whatever becomes of earlier ones.
struct Scenario
{
    std::vector<net::Address> targets;
    std::string key;
    std::string model;
    unsigned tokens = 16;
    std::uint64_t seed = 1;
    std::chrono::milliseconds deadline{60000};
    std::vector<Phase> phases;
};

/// Reads a scenario in YAML. Throws base::Error with line and field.
Scenario readScenario(const std::string &path);

} // namespace ibisfork::bench
