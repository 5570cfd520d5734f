#include "gateway/crashverdict.h"

#include <algorithm>

namespace ibisfork::gateway {

namespace {

/// Engines that end within this time of each other may have a common cause, such as the loss of a failure domain.
constexpr std::chrono::milliseconds commonCauseTime{100};
/// Crashes apart from each other by more than commonCauseTime that a prompt part needs.
constexpr std::size_t minSeparateCrashes = 2;
constexpr std::size_t minSeparateCrashesOfSoundTrait = 3;

} // namespace

void CrashVerdict::add(const CrashEvidence &evidence)
{
    for (const auto &report : evidence.reports) {
        m_crashes.try_emplace(report.engine, report).first->second.add(report);
    }
    addSoundRuns(m_soundRuns, evidence.soundRuns);
}

void CrashVerdict::addExpired(const PoisonGroup &group)
{
    m_expired.insert(group.begin(), group.end());
}

std::optional<StoreTime> CrashVerdict::soundRunOf(const RequestTrait &trait) const
{
    const auto found = m_soundRuns.find(trait);
    return found == m_soundRuns.end() ? std::nullopt : std::optional(found->second);
}

CrashVerdict::EnginesByTrait CrashVerdict::enginesByTrait() const
{
    EnginesByTrait engines;
    for (const auto &[engine, crash] : m_crashes) {
        for (const auto &trait : crash.suspects) {
            const auto sound = soundRunOf(trait);
            if (!sound || *sound <= crash.at) {
                engines[trait].insert(engine);
            }
        }
    }
    return engines;
}

std::size_t CrashVerdict::crashesOf(const RequestTrait &trait) const
{
    const auto engines = enginesByTrait();
    const auto found = engines.find(trait);
    return found == engines.end() ? 0 : found->second.size();
}

StoreTime CrashVerdict::lastCrashOf(const RequestTrait &trait) const
{
    StoreTime last{0};
    for (const auto &item : m_crashes) {
        if (item.second.suspects.contains(trait)) {
            last = std::max(last, item.second.at);
        }
    }
    return last;
}

std::size_t CrashVerdict::separateCrashes(const EngineSet &engines) const
{
    std::vector<StoreTime> times;
    for (const auto &engine : engines) {
        times.push_back(m_crashes.at(engine).at);
    }
    std::sort(times.begin(), times.end());
    std::size_t separate = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        separate += i == 0 || times[i] - times[i - 1] > commonCauseTime ? 1 : 0;
    }
    return separate;
}

bool CrashVerdict::isEnough(const RequestTrait &trait, const EngineSet &engines) const
{
    if (m_expired.contains(trait)) {
        return true;
    }
    if (soundRunOf(trait)) {
        return engines.size() >= minEnginesOfSoundTrait && separateCrashes(engines) >= minSeparateCrashesOfSoundTrait;
    }
    // One request runs at one engine at a time, so the crashes under one body have no common cause.
    const bool separate = trait.kind == TraitKind::Body || separateCrashes(engines) >= minSeparateCrashes;
    return engines.size() >= minEngines && separate;
}

PoisonGroup CrashVerdict::groupWith(const EngineSet &engines, const EnginesByTrait &all) const
{
    PoisonGroup group;
    PoisonGroup neverSound;
    for (const auto &[trait, itsEngines] : all) {
        if (itsEngines == engines && isEnough(trait, itsEngines)) {
            group.insert(trait);
            if (!soundRunOf(trait)) {
                neverSound.insert(trait);
            }
        }
    }
    return neverSound.empty() ? group : neverSound;
}

std::vector<PoisonGroup> CrashVerdict::poison() const
{
    auto left = enginesByTrait();
    std::vector<PoisonGroup> found;
    while (true) {
        EngineSet most;
        for (const auto &[trait, engines] : left) {
            if (engines.size() > most.size() && isEnough(trait, engines)) {
                most = engines;
            }
        }
        if (most.empty()) {
            return found;
        }
        found.push_back(groupWith(most, left));
        for (auto &item : left) {
            std::erase_if(item.second, [&](const std::string &engine) { return most.contains(engine); });
        }
    }
}

} // namespace ibisfork::gateway
