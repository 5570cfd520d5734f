#include "gateway/rollout.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Fraction of the period at which the partial step begins.
constexpr double partialStart = 0.5;

} // namespace

void RunCounts::add(const RunVerdict &verdict)
{
    good -= verdict.isRevised ? 1 : 0;
    switch (verdict.quality) {
    case RunQuality::Good:
        ++good;
        return;
    case RunQuality::Late:
        ++late;
        return;
    case RunQuality::Failed:
        ++failed;
        return;
    }
}

bool Rollout::hasStatus(RolloutState state) const
{
    return status && statusRow > orderRow && status->toVersion == order.toVersion && status->state == state;
}

std::optional<base::TimePoint> Rollout::fullAt() const
{
    return plan.orderRow == orderRow ? plan.fullAt : std::nullopt;
}

double Rollout::progress(base::TimePoint now) const
{
    const auto period = std::max<base::Duration>(order.period, std::chrono::seconds(1));
    return base::toSeconds(now - startedAt) / base::toSeconds(period);
}

RolloutStep Rollout::stepAt(base::TimePoint now) const
{
    if (fullAt() && now >= *fullAt()) {
        return RolloutStep::Full;
    }
    return progress(now) >= partialStart ? RolloutStep::Partial : RolloutStep::Trial;
}

RolloutEvidence Rollout::pooled() const
{
    auto sum = evidence;
    for (const auto &[node, other] : peers) {
        if (other.orderRow == orderRow) {
            sum.add(other);
        }
    }
    return sum;
}

bool Rollout::isRepeatedBy(const RolloutOrder &other, base::TimePoint now) const
{
    const bool same = other.toVersion == order.toVersion && other.period == order.period;
    return orderRow != 0 && same && progress(now) < 1.0;
}

void Rollout::repeatAs(std::uint64_t newOrderRow)
{
    // The row may have been lost with a status that followed it, so what the status said must be written again.
    if (hasStatus(RolloutState::Reverted)) {
        stopReason = stopReason.empty() ? "reverted_before" : stopReason;
        status.reset();
        statusRow = 0;
    } else if (hasStatus(RolloutState::Completed)) {
        statusRow = std::max(statusRow, newOrderRow + 1);
    }
    const auto fullTime = fullAt();
    orderRow = newOrderRow;
    evidence.orderRow = newOrderRow;
    sharedRuns = 0;
    plan = {newOrderRow, startedAt, fullTime};
}

} // namespace ibisfork::gateway
