#include "ledger/reconciliation.h"

#include <optional>

namespace ibisfork::ledger {

namespace {

std::optional<DifferenceKind> kindOf(const Difference &counts)
{
    if (counts.bills > 1) {
        return DifferenceKind::BilledTwice;
    }
    if (counts.bills == 0) {
        return DifferenceKind::RunWithoutBill;
    }
    if (counts.runs > counts.billedSteps) {
        return DifferenceKind::MoreRunsThanBilled;
    }
    if (counts.runs < counts.billedSteps) {
        return DifferenceKind::FewerRunsThanBilled;
    }
    return std::nullopt;
}

} // namespace

std::vector<Difference> reconcile(const std::vector<Bill> &bills, const RunCounts &runs)
{
    std::map<std::string, Difference> counts;
    for (const auto &bill : bills) {
        auto &entry = counts[bill.requestId];
        ++entry.bills;
        entry.billedSteps += bill.steps.size();
    }
    for (const auto &[requestId, count] : runs) {
        counts[requestId].runs = count;
    }
    std::vector<Difference> differences;
    for (auto &[requestId, entry] : counts) {
        if (const auto kind = kindOf(entry)) {
            entry.kind = *kind;
            entry.requestId = requestId;
            differences.push_back(entry);
        }
    }
    return differences;
}

} // namespace ibisfork::ledger
