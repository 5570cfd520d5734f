#include "gateway/rollout.h"

#include <algorithm>

namespace ibisfork::gateway {

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

RolloutEvidence Rollout::others() const
{
    RolloutEvidence sum;
    sum.orderRow = orderRow;
    sum.step = evidence.step;
    for (const auto &[node, other] : peers) {
        if (other.orderRow == orderRow) {
            sum.add(other);
        }
    }
    for (const auto &other : fleet) {
        if (other.orderRow == orderRow) {
            sum.add(other);
        }
    }
    return sum;
}

RolloutEvidence Rollout::pooled() const
{
    auto sum = evidence;
    sum.add(others());
    return sum;
}

void Rollout::settle()
{
    if (hasStatus(RolloutState::Reverted)) {
        verdict = RolloutState::Reverted;
    } else if (hasStatus(RolloutState::Completed) && !verdict) {
        verdict = RolloutState::Completed;
    }
}

bool Rollout::isPlanOutdated() const
{
    const bool isKnown = storedPlan.orderRow != RowVersion();
    const bool namesEarlierEra = storedPlan.orderRow.era() < orderRow.era();
    const bool lacksFullStep = storedPlan.orderRow == orderRow && fullAt() && !storedPlan.fullAt;
    return isKnown && (namesEarlierEra || lacksFullStep);
}

bool Rollout::isRepeatedBy(const RolloutOrder &other, RowVersion otherRow, base::TimePoint now) const
{
    const bool same = other.toVersion == order.toVersion && other.period == order.period;
    return orderRow != RowVersion() && same && (progress(now) < 1.0 || otherRow.era() > orderRow.era());
}

void Rollout::repeatAs(RowVersion newOrderRow)
{
    // The row may have been lost with a status that followed it, so what the status said must be written again.
    status.reset();
    statusRow = {};
    const auto fullTime = fullAt();
    for (auto &[node, other] : peers) {
        if (other.orderRow == orderRow) {
            other.orderRow = newOrderRow;
        }
    }
    for (auto &other : fleet) {
        if (other.orderRow == orderRow) {
            other.orderRow = newOrderRow;
        }
    }
    orderRow = newOrderRow;
    evidence.orderRow = newOrderRow;
    sharedRuns = 0;
    plan = {newOrderRow, startedAt, fullTime};
}

} // namespace ibisfork::gateway
