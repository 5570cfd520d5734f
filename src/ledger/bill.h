#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>

namespace ibisfork::ledger {

/// How a request that ran ended for its caller.
enum class BillOutcome { Answered, Refused, Cut, CallerGone };
inline constexpr std::array<base::Name<BillOutcome>, 4> billOutcomeNames{{
    {BillOutcome::Answered, "answered"},
    {BillOutcome::Refused, "refused"},
    {BillOutcome::Cut, "cut"},
    {BillOutcome::CallerGone, "caller-gone"},
}};

/// One run of a request on an upstream, or a run that can't be ruled out.
struct BillStep
{
    std::string version;
    std::string upstream;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    double cost = 0.0;
};

/// All that one request cost: every step of a cascade and every retry.
struct Bill
{
    std::string requestId;
    std::string workspace;
    std::string node;
    BillOutcome outcome = BillOutcome::Answered;
    std::vector<BillStep> steps;
};

/// @p bill as one line of JSON.
std::string billText(const Bill &bill);
/// Throws LedgerError.
Bill billFrom(const std::string &text);

} // namespace ibisfork::ledger
