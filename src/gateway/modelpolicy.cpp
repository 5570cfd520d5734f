#include "gateway/modelpolicy.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Responses with a lower confidence get a second run. Somewhat below this value, responses need the large model only
/// about half the time, while its prompts delay the streams of all other requests at the engine.
constexpr double leastConfidence = 43;
/// The same limit under overload, where one run of a large model takes the capacity of several requests that would
/// otherwise get no response at all.
constexpr double leastConfidenceInOverload = 10;
/// Pressure at which the limit begins to fall, and at which it has reached leastConfidenceInOverload.
constexpr double pressureBegins = 0.3;
constexpr double pressureFull = 0.7;

/// Returns the confidence below which a second run is worthwhile at @p pressure.
double confidenceWanted(double pressure)
{
    const double part = std::clamp((pressure - pressureBegins) / (pressureFull - pressureBegins), 0.0, 1.0);
    return leastConfidence - part * (leastConfidence - leastConfidenceInOverload);
}

} // namespace

std::string ModelPolicy::first(const std::vector<std::string> &models) const
{
    return models.front();
}

std::string ModelPolicy::larger(const std::vector<std::string> &models) const
{
    return models.back();
}

bool ModelPolicy::worthSecondRun(const std::vector<std::string> &models,
                                 const std::string &model,
                                 int confidence,
                                 double pressure) const
{
    return model != models.back() && confidence < confidenceWanted(pressure);
}

} // namespace ibisfork::gateway
