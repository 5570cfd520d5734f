#pragma once

#include <string>
#include <vector>

#include "load/loadgenerator.h"

namespace ibisfork::bench {

/// The results as a JSON document.
std::string reportJson(const std::vector<PhaseResult> &results);

/// The percentiles of the answers' latencies by phase, as an SVG picture.
std::string reportSvg(const std::vector<PhaseResult> &results);

} // namespace ibisfork::bench
