#pragma once

#include <map>
#include <set>
#include <vector>

#include "gateway/crashevidence.h"

namespace ibisfork::gateway {

/// Finds what crashes engines from the evidence of all nodes together.
///
/// A crash counts against a trait unless a run with the trait that began later went well. The trait with the most
/// crashes explains them; the rest is judged by the crashes that remain, so that requests which merely ran beside the
/// cause are not blamed.
class CrashVerdict
{
public:
    /// Engines that a trait must have crashed.
    static constexpr std::size_t minEngines = 3;
    /// As minEngines, for traits with runs that went well before the crashes.
    static constexpr std::size_t minEnginesOfSoundTrait = 5;

    /// What speaks against one trait.
    struct Suspicion
    {
        /// Engines whose crash counts against it.
        std::size_t crashes = 0;
        /// Latest end of an engine at which it was suspected.
        StoreTime lastCrash{0};
    };

    /// Adds what one node knows.
    void add(const CrashEvidence &evidence);
    /// Adds the ends of engines that one node has seen.
    void addReports(const std::vector<CrashReport> &reports);
    /// Adds that a run with @p trait, which began to be answered at @p beganAt, went well.
    void addSoundRun(const RequestTrait &trait, StoreTime beganAt);
    /// For these, one crash is enough: their conviction has expired.
    void addExpired(const PoisonGroup &group);

    std::vector<PoisonGroup> poison() const;
    /// What speaks against each trait that was suspected at the end of any engine.
    std::map<RequestTrait, Suspicion> suspicions() const;
    /// When the latest run with @p trait that went well began, if there is any.
    std::optional<StoreTime> soundRunOf(const RequestTrait &trait) const;

private:
    /// Entries of m_crashes, in its order.
    using Crashes = std::vector<const CrashReport *>;
    using CrashesByTrait = std::map<RequestTrait, Crashes>;

    /// True if a run with @p trait that began after @p crash went well.
    bool isRefuted(const RequestTrait &trait, const CrashReport &crash) const;
    /// The crashes that count against each trait.
    CrashesByTrait crashesByTrait() const;
    bool isEnough(const RequestTrait &trait, const Crashes &crashes) const;
    static std::size_t separateCrashes(const Crashes &crashes);
    PoisonGroup groupWith(const Crashes &crashes, const CrashesByTrait &all) const;

    /// Ends of engines, by engine, as all nodes together saw them.
    std::map<std::string, CrashReport> m_crashes;
    SoundRuns m_soundRuns;
    std::set<RequestTrait> m_expired;
};

} // namespace ibisfork::gateway
