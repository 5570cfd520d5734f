#include "policy/failurerates.h"

#include <cmath>

namespace ibisfork::policy {

double FailureRates::evidenceOf(bool failed) const
{
    return failed ? std::log(bad / healthy) : std::log((1.0 - bad) / (1.0 - healthy));
}

} // namespace ibisfork::policy
