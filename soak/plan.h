#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>

namespace ibisfork::soak {

/// What is done to the system from outside.
enum class FaultKind {
    KillNode,
    TerminateNode,
    PauseNode,
    SignalReload,
    CutNodeFromStore,
    SilenceNodesStoreLinks,
    RefuseAtStore,
    SilenceStore,
    LoseWriteAnswers,
    ForgetHistory,
    StepStoreClock,
    ResetEngineLinks,
    SilenceEngineLinks,
    CutEngineOneWay,
    DelayEngineLinks,
    CrashEngine,
    RestartEngineSameId,
    DrainEngine,
    FailAtEngine,
    ChangeConfiguration,
    RevokeKey,
    EvacuateDomain,
    MarkLeavingEngine,
    RestEngine,
    RestoreOlderStore,
    PauseEngine, ///< It falls silent and goes on.
    PauseSeveralEngines, ///< Of one service.
    PauseService, ///< All of its engines.
    PauseBesideFull, ///< One engine falls silent while the others of its service refuse as full.
    BusyEngines, ///< They refuse new requests as full.
    ChangeTimes, ///< Timeouts, pause objectives and the idle limit.
    MoveStreams, ///< Their route goes to the other service.
    LosePathsSilently, ///< Some nodes lose their paths to all engines of a service, or of both.
    LosePathsOneWay,
    LosePathsByReset,
    RewriteSettings, ///< The same settings are written again, without a signal.
    HalfWriteSettings, ///< They are half written for a time.
    StartOnHalfSettings, ///< A node finds them so when it starts.
    TakePort, ///< Another process holds a port of a node that starts.
    OpenIdleConnections, ///< Callers open more connections to a node than it has descriptors, and ask for nothing.
};
inline constexpr std::array<base::Name<FaultKind>, 40> faultKindNames{{
    {FaultKind::KillNode, "kill-node"},
    {FaultKind::TerminateNode, "terminate-node"},
    {FaultKind::PauseNode, "pause-node"},
    {FaultKind::SignalReload, "signal-reload"},
    {FaultKind::CutNodeFromStore, "cut-node-from-store"},
    {FaultKind::SilenceNodesStoreLinks, "silence-nodes-store-links"},
    {FaultKind::RefuseAtStore, "refuse-at-store"},
    {FaultKind::SilenceStore, "silence-store"},
    {FaultKind::LoseWriteAnswers, "lose-write-answers"},
    {FaultKind::ForgetHistory, "forget-history"},
    {FaultKind::StepStoreClock, "step-store-clock"},
    {FaultKind::ResetEngineLinks, "reset-engine-links"},
    {FaultKind::SilenceEngineLinks, "silence-engine-links"},
    {FaultKind::CutEngineOneWay, "cut-engine-one-way"},
    {FaultKind::DelayEngineLinks, "delay-engine-links"},
    {FaultKind::CrashEngine, "crash-engine"},
    {FaultKind::RestartEngineSameId, "restart-engine-same-id"},
    {FaultKind::DrainEngine, "drain-engine"},
    {FaultKind::FailAtEngine, "fail-at-engine"},
    {FaultKind::ChangeConfiguration, "change-configuration"},
    {FaultKind::RevokeKey, "revoke-key"},
    {FaultKind::EvacuateDomain, "evacuate-domain"},
    {FaultKind::MarkLeavingEngine, "mark-leaving-engine"},
    {FaultKind::RestEngine, "rest-engine"},
    {FaultKind::RestoreOlderStore, "restore-older-store"},
    {FaultKind::PauseEngine, "pause-engine"},
    {FaultKind::PauseSeveralEngines, "pause-several-engines"},
    {FaultKind::PauseService, "pause-service"},
    {FaultKind::PauseBesideFull, "pause-beside-full"},
    {FaultKind::BusyEngines, "busy-engines"},
    {FaultKind::ChangeTimes, "change-times"},
    {FaultKind::MoveStreams, "move-streams"},
    {FaultKind::LosePathsSilently, "lose-paths-silently"},
    {FaultKind::LosePathsOneWay, "lose-paths-one-way"},
    {FaultKind::LosePathsByReset, "lose-paths-by-reset"},
    {FaultKind::RewriteSettings, "rewrite-settings"},
    {FaultKind::HalfWriteSettings, "half-write-settings"},
    {FaultKind::StartOnHalfSettings, "start-on-half-settings"},
    {FaultKind::TakePort, "take-port"},
    {FaultKind::OpenIdleConnections, "open-idle-connections"},
}};

/// One fault of a plan.
struct Fault
{
    /// From the start of traffic.
    base::Duration at{};
    FaultKind kind = FaultKind::KillNode;
    /// Chooses the node, engine or domain among those there are.
    unsigned target = 0;
    base::Duration lasts{};
};

/// Which kinds of faults a plan draws from.
enum class FaultSet {
    All,
    EnginesAndStoreSay, ///< Only what engines and the store say of themselves; paths and processes stay unharmed.
    LostPaths, ///< Nodes lose their paths to engines, beside engines that pause or crash and changes.
    PausesAndPlannedWork, ///< Engines fall silent or are full, beside changes of the configuration, SIGHUP and SIGTERM.
    Crowd, ///< Processes end, stop and start, beside a series of planned work that overlaps with them.
};

/// The plan of @p seed: faults in series and overlapping, the last of them ends before @p length.
std::vector<Fault> planOf(std::uint64_t seed, base::Duration length, FaultSet set);

std::string describe(const Fault &fault);

} // namespace ibisfork::soak
