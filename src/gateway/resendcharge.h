#pragma once

#include <string>

#include "gateway/resendbudget.h"

namespace ibisfork::gateway {

/// What of the resend budget one request has been charged: at most one retry for the current attempt, and one for the
/// next. The first attempt that reaches an engine is free.
class ResendCharge
{
public:
    /// Charges @p budget for the next attempt, unless that has been done; false if the budget is exhausted.
    /// For the other parameters see ResendBudget::consume().
    bool chargeNext(ResendBudget &budget, const std::string &service, unsigned nodes, base::TimePoint now);
    /// The next attempt becomes the current one.
    void beginAttempt();
    /// The current attempt has reached no engine, so the next one takes its place.
    void carryOver();

private:
    bool m_isFirstFree = true;
    bool m_isNextCharged = false;
    bool m_isCurrentCharged = false;
};

} // namespace ibisfork::gateway
