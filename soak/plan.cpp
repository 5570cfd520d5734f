#include "plan.h"

#include <algorithm>
#include <random>
#include <span>

#include <fmt/format.h>

namespace ibisfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestGap{100};
constexpr milliseconds longestGap{1500};
constexpr milliseconds shortestFault{300};
constexpr milliseconds longestFault{3500};
/// One fault in so many is followed by the same one at once.
constexpr unsigned seriesOneIn = 4;
constexpr unsigned mostTargets = 1000;
/// Kinds added later are drawn apart, so that a seed goes on giving the same faults of the first kinds.
constexpr std::size_t firstKinds = 22;
constexpr std::uint64_t addedKindsSeed = 0x9e3779b9;
constexpr std::size_t addedKindsEnd = 25;
constexpr milliseconds longestAddedGap{5000};
/// Kinds added after those are drawn apart once more.
constexpr std::uint64_t pauseKindsSeed = 0x7f4a7c15;
constexpr std::size_t pauseKindsEnd = 32;
constexpr milliseconds shortestPause{600};
constexpr milliseconds longestPause{1800};
/// What a plan of pauses and planned work draws from.
constexpr std::array pauseKinds{FaultKind::PauseEngine,
                                FaultKind::PauseSeveralEngines,
                                FaultKind::PauseService,
                                FaultKind::PauseBesideFull,
                                FaultKind::BusyEngines,
                                FaultKind::ChangeTimes,
                                FaultKind::MoveStreams,
                                FaultKind::ChangeConfiguration,
                                FaultKind::RevokeKey,
                                FaultKind::SignalReload,
                                FaultKind::TerminateNode};

/// What a plan of lost paths draws from; paths are lost in a part of its own.
constexpr std::array lostPathKinds{FaultKind::LosePathsSilently,
                                   FaultKind::LosePathsOneWay,
                                   FaultKind::LosePathsByReset};
constexpr std::array besideLostPathKinds{FaultKind::PauseEngine,
                                         FaultKind::PauseSeveralEngines,
                                         FaultKind::BusyEngines,
                                         FaultKind::CrashEngine,
                                         FaultKind::RestartEngineSameId,
                                         FaultKind::DrainEngine,
                                         FaultKind::ChangeConfiguration,
                                         FaultKind::ChangeTimes,
                                         FaultKind::SignalReload};
constexpr milliseconds longestGapOfLostPaths{6000};

/// What a plan beside a crowd of callers draws from; planned work is a part of its own, so that it overlaps.
constexpr std::array crowdKinds{FaultKind::KillNode,
                                FaultKind::PauseNode,
                                FaultKind::HalfWriteSettings,
                                FaultKind::RewriteSettings,
                                FaultKind::StartOnHalfSettings,
                                FaultKind::TakePort};
constexpr std::array plannedKinds{FaultKind::TerminateNode,
                                  FaultKind::SignalReload,
                                  FaultKind::ChangeConfiguration,
                                  FaultKind::ChangeTimes,
                                  FaultKind::MoveStreams,
                                  FaultKind::RewriteSettings};
constexpr std::array idleConnectionKinds{FaultKind::OpenIdleConnections};
constexpr milliseconds longestGapOfIdleConnections{5000};
constexpr milliseconds longestGapOfCrowd{3000};
constexpr milliseconds longestGapOfPlannedWork{900};

milliseconds draw(std::mt19937_64 &random, milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
}

bool isPause(FaultKind kind)
{
    return kind == FaultKind::PauseEngine || kind == FaultKind::PauseSeveralEngines || kind == FaultKind::PauseService
        || kind == FaultKind::PauseBesideFull;
}

/// The kinds from @p first to before @p last.
std::vector<FaultKind> kindsBetween(std::size_t first, std::size_t last)
{
    std::vector<FaultKind> kinds;
    for (auto i = first; i < last; ++i) {
        kinds.push_back(faultKindNames.at(i).value);
    }
    return kinds;
}

/// Faults of @p kinds with gaps of up to @p longestBetween.
std::vector<Fault> draw(std::uint64_t seed,
                        base::Duration length,
                        std::span<const FaultKind> kinds,
                        milliseconds longestBetween)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> indexes(0, kinds.size() - 1);
    std::uniform_int_distribution<unsigned> targets(0, mostTargets);
    std::vector<Fault> plan;
    Fault next;
    for (base::Duration at = longestGap; at + longestFault < length; at += draw(random, shortestGap, longestBetween)) {
        const bool again = !plan.empty() && targets(random) % seriesOneIn == 0;
        next.kind = again ? plan.back().kind : kinds[indexes(random)];
        next.at = at;
        next.target = targets(random);
        next.lasts = isPause(next.kind) ? draw(random, shortestPause, longestPause)
                                        : draw(random, shortestFault, longestFault);
        plan.push_back(next);
    }
    return plan;
}

} // namespace

std::vector<Fault> planOf(std::uint64_t seed, base::Duration length, FaultSet set)
{
    if (set == FaultSet::PausesAndPlannedWork) {
        return draw(seed, length, pauseKinds, longestGap);
    }
    std::vector<Fault> plan;
    if (set == FaultSet::LostPaths) {
        plan = draw(seed, length, lostPathKinds, longestGapOfLostPaths);
        const auto beside = draw(seed + addedKindsSeed, length, besideLostPathKinds, longestGap);
        plan.insert(plan.end(), beside.begin(), beside.end());
        return plan;
    }
    if (set == FaultSet::Crowd) {
        plan = draw(seed, length, crowdKinds, longestGapOfCrowd);
        const auto planned = draw(seed + addedKindsSeed, length, plannedKinds, longestGapOfPlannedWork);
        plan.insert(plan.end(), planned.begin(), planned.end());
        const auto idle = draw(seed + pauseKindsSeed, length, idleConnectionKinds, longestGapOfIdleConnections);
        plan.insert(plan.end(), idle.begin(), idle.end());
        return plan;
    }
    const auto add = [&](const std::vector<Fault> &faults) {
        plan.insert(plan.end(), faults.begin(), faults.end());
    };
    if (set == FaultSet::All) {
        add(draw(seed, length, kindsBetween(0, firstKinds), longestGap));
    }
    add(draw(seed + addedKindsSeed, length, kindsBetween(firstKinds, addedKindsEnd), longestAddedGap));
    if (set == FaultSet::All) {
        const auto kinds = kindsBetween(addedKindsEnd, pauseKindsEnd);
        add(draw(seed + pauseKindsSeed, length, kinds, longestAddedGap));
    }
    std::stable_sort(
        plan.begin(), plan.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
    return plan;
}

std::string describe(const Fault &fault)
{
    return fmt::format("{:6} ms {} target {} for {} ms",
                       base::toMilliseconds(fault.at),
                       base::nameOf(faultKindNames, fault.kind),
                       fault.target,
                       base::toMilliseconds(fault.lasts));
}

} // namespace ibisfork::soak
