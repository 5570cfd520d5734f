#include "gateway/modelpolicy.h"

namespace ibisfork::gateway {

namespace {

/// Below this the largest model is more likely to be needed than not.
constexpr int leastConfidence = 50;

} // namespace

std::string ModelPolicy::first(const std::vector<std::string> &models) const
{
    return models.front();
}

std::string ModelPolicy::larger(const std::vector<std::string> &models) const
{
    return models.back();
}

bool ModelPolicy::worthSecondRun(const std::vector<std::string> &models, const std::string &model, int confidence) const
{
    return model != models.back() && confidence < leastConfidence;
}

} // namespace ibisfork::gateway
