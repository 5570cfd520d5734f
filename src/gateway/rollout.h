#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/engine.h"
#include "gateway/rolloutevidence.h"
#include "gateway/versionalarm.h"

namespace ibisfork::gateway {

/// Number of a version's runs at this node, by how far they have come.
struct RunCounts
{
    unsigned sent = 0;
    unsigned good = 0;
    unsigned late = 0;
    unsigned failed = 0;

    void add(const RunVerdict &verdict);
};

/// Times of a rollout's steps by this node's clock, as read from the stored plan.
struct RolloutTimes
{
    RowVersion orderRow;
    base::TimePoint startedAt{};
    std::optional<base::TimePoint> fullAt;
};

/// An order of the operators and what this node knows of its rollout.
struct Rollout
{
    /// Fraction of the period at which the partial step begins.
    static constexpr double partialStart = 0.5;

    RolloutOrder order;
    RowVersion orderRow;
    base::TimePoint startedAt{};
    std::optional<RolloutStatus> status;
    RowVersion statusRow;
    /// The final status that the store has held for this order. It outlives a loss of the store's latest writes.
    std::optional<RolloutState> verdict;
    RolloutTimes plan;
    /// The plan as the store was last seen to hold it.
    RolloutTimes storedPlan;
    /// Why this node has stopped the new version; empty if it has not.
    std::string stopReason;
    /// The runs of this node alone have stopped it, so that others may not know.
    bool isStoppedAlone = false;
    RunCounts newCounts;
    RunCounts oldCounts;
    /// Evidence of this node in the current step.
    RolloutEvidence evidence;
    /// Runs of the new version in the evidence that was last stored.
    unsigned sharedRuns = 0;
    /// By route and quality.
    std::map<std::pair<std::string, RunQuality>, VersionAlarm> alarms;
    /// Evidence of nodes that has been stored by earlier builds, by node.
    std::map<std::string, RolloutEvidence> peers;
    /// Evidence of all other nodes that exchange it, summed for each order and step.
    std::vector<RolloutEvidence> fleet;

    /// True if the current order's status, as read from the store, is @p state.
    bool hasStatus(RolloutState state) const;
    bool isCompleted() const { return verdict == RolloutState::Completed; }
    bool stopped() const { return !stopReason.empty() || verdict == RolloutState::Reverted; }
    /// True while the new version's fate is open.
    bool isOpen() const { return !stopped() && !isCompleted(); }
    /// Takes over a final status of this order. A version that was reverted stays so, whatever is written later.
    void settle();
    /// The plan that the store holds names the order by its row of an earlier era, or lacks the full step.
    bool isPlanOutdated() const;
    /// When the full step begins, if that is planned.
    std::optional<base::TimePoint> fullAt() const;
    /// Elapsed fraction of the period; above 1 after its end.
    double progress(base::TimePoint now) const;
    RolloutStep stepAt(base::TimePoint now) const;
    /// Evidence of all other nodes for the current order.
    RolloutEvidence others() const;
    /// Evidence of all nodes for the current order.
    RolloutEvidence pooled() const;
    /// True if @p other says the same as the current order, within its period or as the first one after the store came
    /// back from an older copy: the order was written again, and is no new one.
    bool isRepeatedBy(const RolloutOrder &other, RowVersion otherRow, base::TimePoint now) const;
    /// Goes on under the order's new row version, also with the evidence of other nodes.
    void repeatAs(RowVersion newOrderRow);
};

} // namespace ibisfork::gateway
