#pragma once

#include <map>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::hedging {

/// How much extra work second copies of requests may cause, as shares of what the requests themselves cause. Both are
/// kept apart for each service; with one of them 0, no copy is sent.
struct HedgeBound
{
    /// Copies for each request that may be repeated.
    double requestShare = 0;
    /// Time that engines may spend on copies, for each time that they spend on requests.
    double timeShare = 0;

    bool allowsAny() const { return requestShare > 0 && timeShare > 0; }
};

/// The extra work that second copies may still cause at each service. What is not used is kept for a short burst only.
class HedgeBudget
{
public:
    explicit HedgeBudget(const HedgeBound &bound)
        : m_bound(bound)
    { }

    void setBound(const HedgeBound &bound) { m_bound = bound; }
    const HedgeBound &bound() const { return m_bound; }

    /// Records a request of @p service that may be repeated.
    void recordRequest(const std::string &service);
    /// Records that an engine has spent @p time on such a request.
    void recordRun(const std::string &service, base::Duration time);
    /// Takes a copy that is expected to cost an engine @p time from the budget; false if there is no room for it.
    bool take(const std::string &service, base::Duration time);

private:
    struct Account
    {
        double copies = 0;
        double seconds = 0;
    };

    HedgeBound m_bound;
    std::map<std::string, Account> m_accounts;
};

} // namespace ibisfork::hedging
