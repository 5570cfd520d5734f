#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "ledger/bill.h"

namespace ibisfork::ledger {

/// Runs that the upstreams counted, by request id, all upstreams together.
using RunCounts = std::map<std::string, std::uint64_t>;

enum class DifferenceKind { RunWithoutBill, BilledTwice, MoreRunsThanBilled, FewerRunsThanBilled };
inline constexpr std::array<base::Name<DifferenceKind>, 4> differenceKindNames{{
    {DifferenceKind::RunWithoutBill, "run-without-bill"},
    {DifferenceKind::BilledTwice, "billed-twice"},
    {DifferenceKind::MoreRunsThanBilled, "more-runs-than-billed"},
    {DifferenceKind::FewerRunsThanBilled, "fewer-runs-than-billed"},
}};

/// A request whose bills and runs don't agree.
struct Difference
{
    DifferenceKind kind = DifferenceKind::RunWithoutBill;
    std::string requestId;
    std::uint64_t runs = 0;
    std::uint64_t billedSteps = 0;
    std::uint64_t bills = 0;
};

/// Compares bills with runs; each request that differs is named once.
std::vector<Difference> reconcile(const std::vector<Bill> &bills, const RunCounts &runs);

} // namespace ibisfork::ledger
