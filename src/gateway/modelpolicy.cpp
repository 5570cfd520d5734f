#include "gateway/modelpolicy.h"

namespace ibisfork::gateway {

namespace {

/// Somewhat below it the large model is needed as often as not, but its prompts hold up the streams of all others
/// there.
constexpr int leastConfidence = 43;

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
