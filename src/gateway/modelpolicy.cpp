#include "gateway/modelpolicy.h"

namespace ibisfork::gateway {

std::string ModelPolicy::first(const std::vector<std::string> &models, double) const
{
    return models.back();
}

std::string ModelPolicy::larger(const std::vector<std::string> &models) const
{
    return models.back();
}

bool ModelPolicy::worthSecondRun(const std::vector<std::string> &, const std::string &, int) const
{
    return false;
}

} // namespace ibisfork::gateway
