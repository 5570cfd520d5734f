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
    addReports(evidence.reports);
    addSoundRuns(m_soundRuns, evidence.soundRuns);
}

void CrashVerdict::addReports(const std::vector<CrashReport> &reports)
{
    for (const auto &report : reports) {
        m_crashes.try_emplace(report.engine, report).first->second.add(report);
    }
}

void CrashVerdict::addSoundRun(const RequestTrait &trait, StoreTime beganAt)
{
    gateway::addSoundRun(m_soundRuns, trait, beganAt);
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

bool CrashVerdict::isRefuted(const RequestTrait &trait, const CrashReport &crash) const
{
    const auto sound = soundRunOf(trait);
    return sound && *sound > crash.at;
}

CrashVerdict::CrashesByTrait CrashVerdict::crashesByTrait() const
{
    CrashesByTrait crashes;
    for (const auto &item : m_crashes) {
        for (const auto &trait : item.second.suspects) {
            if (!isRefuted(trait, item.second)) {
                crashes[trait].push_back(&item.second);
            }
        }
    }
    return crashes;
}

std::map<RequestTrait, CrashVerdict::Suspicion> CrashVerdict::suspicions() const
{
    std::map<RequestTrait, Suspicion> suspicions;
    for (const auto &item : m_crashes) {
        for (const auto &trait : item.second.suspects) {
            auto &suspicion = suspicions[trait];
            suspicion.lastCrash = std::max(suspicion.lastCrash, item.second.at);
            suspicion.crashes += isRefuted(trait, item.second) ? 0 : 1;
        }
    }
    return suspicions;
}

std::size_t CrashVerdict::separateCrashes(const Crashes &crashes)
{
    std::vector<StoreTime> times;
    times.reserve(crashes.size());
    for (const auto *crash : crashes) {
        times.push_back(crash->at);
    }
    std::sort(times.begin(), times.end());
    std::size_t separate = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        separate += i == 0 || times[i] - times[i - 1] > commonCauseTime ? 1 : 0;
    }
    return separate;
}

bool CrashVerdict::isEnough(const RequestTrait &trait, const Crashes &crashes) const
{
    if (m_expired.contains(trait)) {
        return true;
    }
    if (crashes.size() < minEngines) {
        return false;
    }
    if (soundRunOf(trait)) {
        return crashes.size() >= minEnginesOfSoundTrait && separateCrashes(crashes) >= minSeparateCrashesOfSoundTrait;
    }
    // One request runs at one engine at a time, so the crashes under one body have no common cause.
    return trait.kind == TraitKind::Body || separateCrashes(crashes) >= minSeparateCrashes;
}

PoisonGroup CrashVerdict::groupWith(const Crashes &crashes, const CrashesByTrait &all) const
{
    PoisonGroup group;
    PoisonGroup neverSound;
    for (const auto &[trait, itsCrashes] : all) {
        if (itsCrashes == crashes && isEnough(trait, itsCrashes)) {
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
    auto left = crashesByTrait();
    std::vector<PoisonGroup> found;
    while (true) {
        Crashes most;
        for (const auto &[trait, crashes] : left) {
            if (crashes.size() > most.size() && isEnough(trait, crashes)) {
                most = crashes;
            }
        }
        if (most.empty()) {
            return found;
        }
        found.push_back(groupWith(most, left));
        for (auto &item : left) {
            std::erase_if(item.second, [&](const CrashReport *crash) {
                return std::find(most.begin(), most.end(), crash) != most.end();
            });
        }
    }
}

} // namespace ibisfork::gateway
