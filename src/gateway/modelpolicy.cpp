#include "gateway/modelpolicy.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Somewhat below it the large model is needed as often as not, but its prompts hold up the streams of all others
/// there.
constexpr double leastConfidence = 43;
/// The same where the engines can't keep up: what a large model takes there would let several others be answered at
/// all.
constexpr double leastConfidenceInOverload = 10;
constexpr double pressureBegins = 0.3;
constexpr double pressureFull = 0.7;

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
