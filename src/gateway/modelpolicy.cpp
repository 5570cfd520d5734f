#include "gateway/modelpolicy.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Responses with a lower confidence get a second run. Somewhat below this value, responses need the large model only
/// about half the time, while its prompts delay the streams of all other requests at the engine.
constexpr double minConfidence = 43;
/// The same limit under overload, where one run of a large model takes the capacity of several requests that would
/// otherwise get no response at all.
constexpr double minConfidenceInOverload = 10;
/// Pressure at which the limit begins to fall, and at which it has reached minConfidenceInOverload.
constexpr double overloadBeginPressure = 0.3;
constexpr double overloadFullPressure = 0.7;

/// Returns the confidence below which a second run is worthwhile at @p pressure.
double requiredConfidence(double pressure)
{
    const double part
        = std::clamp((pressure - overloadBeginPressure) / (overloadFullPressure - overloadBeginPressure), 0.0, 1.0);
    return minConfidence - part * (minConfidence - minConfidenceInOverload);
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
    return model != models.back() && confidence < requiredConfidence(pressure);
}

} // namespace ibisfork::gateway
