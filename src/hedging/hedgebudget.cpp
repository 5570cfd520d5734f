#include "hedging/hedgebudget.h"

#include <algorithm>

namespace ibisfork::hedging {

namespace {

/// What a service that has caused no copies for a while may have left: a few slow answers come together.
constexpr double mostCopies = 5;
constexpr double mostSeconds = 5;

} // namespace

void HedgeBudget::recordRequest(const std::string &service)
{
    auto &account = m_accounts[service];
    account.copies = std::min(mostCopies, account.copies + m_bound.requestShare);
}

void HedgeBudget::recordRun(const std::string &service, base::Duration time)
{
    auto &account = m_accounts[service];
    account.seconds = std::min(mostSeconds, account.seconds + m_bound.timeShare * base::toSeconds(time));
}

bool HedgeBudget::take(const std::string &service, base::Duration time)
{
    auto &account = m_accounts[service];
    const double seconds = base::toSeconds(time);
    if (!m_bound.allowsAny() || account.copies < 1 || account.seconds < seconds) {
        return false;
    }
    account.copies -= 1;
    account.seconds -= seconds;
    return true;
}

} // namespace ibisfork::hedging
