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

    /// Adds what one node knows.
    void add(const CrashEvidence &evidence);
    /// For these, one crash is enough: their conviction has expired.
    void addExpired(const PoisonGroup &group);

    std::vector<PoisonGroup> poison() const;
    /// Number of engines whose crash counts against @p trait.
    std::size_t crashesOf(const RequestTrait &trait) const;
    /// Latest end of an engine at which @p trait was suspected; zero if there is none.
    StoreTime lastCrashOf(const RequestTrait &trait) const;
    /// When the latest run with @p trait that went well began, if there is any.
    std::optional<StoreTime> soundRunOf(const RequestTrait &trait) const;

private:
    using EngineSet = std::set<std::string>;
    using EnginesByTrait = std::map<RequestTrait, EngineSet>;

    EnginesByTrait enginesByTrait() const;
    bool isEnough(const RequestTrait &trait, const EngineSet &engines) const;
    std::size_t separateCrashes(const EngineSet &engines) const;
    PoisonGroup groupWith(const EngineSet &engines, const EnginesByTrait &all) const;

    /// Ends of engines, by engine, as all nodes together saw them.
    std::map<std::string, CrashReport> m_crashes;
    SoundRuns m_soundRuns;
    std::set<RequestTrait> m_expired;
};

} // namespace ibisfork::gateway
