#include "gateway/crashtracker.h"

#include <algorithm>
#include <utility>

namespace ibisfork::gateway {

namespace {

/// Evidence older than this no longer counts.
constexpr std::chrono::minutes evidenceLifetime{10};
/// Old evidence is dropped at most once in this time.
constexpr std::chrono::milliseconds dropInterval{1000};
/// Bounds of what one node shares, so that its row stays far below the store's limit for a row.
constexpr std::size_t maxReports = 24;
constexpr std::size_t maxSuspects = 40;
/// Traits whose runs went well that a node keeps at most. Beyond that the old ones go, then the oldest down to
/// keptSoundTraits, so that it is seldom done.
constexpr std::size_t maxSoundTraits = 4000;
constexpr std::size_t keptSoundTraits = 3000;
/// Other nodes are told of their sound runs with traits that this many crashes count against.
constexpr std::size_t minContestedCrashes = 2;
/// The verdict changes with time alone when evidence or convictions expire.
constexpr std::chrono::milliseconds updateInterval{1000};
/// Shortest time between two verdicts, so that they cost little under load.
constexpr std::chrono::milliseconds minUpdateInterval{50};

/// Adds @p traits to @p suspects, as many as one report may name.
template<typename Traits>
void insertBounded(std::set<RequestTrait> &suspects, const Traits &traits)
{
    for (const auto &trait : traits) {
        if (suspects.size() >= maxSuspects) {
            return;
        }
        suspects.insert(trait);
    }
}

} // namespace

bool CrashTracker::recordLostRun(const std::string &engine, const std::vector<RequestTrait> &traits, StoreTime now)
{
    const auto [found, isNew] = m_pending.try_emplace(engine, PendingLoss{now, {}});
    found->second.traits.insert(traits.begin(), traits.end());
    return isNew;
}

void CrashTracker::confirmLoss(const std::string &engine, bool hasEnded, StoreTime now)
{
    const auto found = m_pending.find(engine);
    if (found == m_pending.end()) {
        return;
    }
    const auto loss = std::move(found->second);
    m_pending.erase(found);
    if (!hasEnded) {
        return;
    }
    CrashReport report{engine, loss.at, suspectsOf(loss)};
    if (report.suspects.empty()) {
        return;
    }
    addReport(std::move(report));
    update(now);
}

void CrashTracker::addReport(CrashReport report)
{
    const auto isOfSameEnd = [&](const CrashReport &known) {
        return known.engine == report.engine;
    };
    const auto known = std::find_if(m_own.reports.begin(), m_own.reports.end(), isOfSameEnd);
    if (known != m_own.reports.end()) {
        // The runs of one engine may be seen to end one after the other.
        insertBounded(known->suspects, report.suspects);
        return;
    }
    m_own.reports.push_back(std::move(report));
    if (m_own.reports.size() > maxReports) {
        m_own.reports.erase(m_own.reports.begin());
    }
}

std::set<RequestTrait> CrashTracker::suspectsOf(const PendingLoss &loss) const
{
    // Where the report can't name all, the traits go first that are at fault more likely.
    std::vector<RequestTrait> unprovenParts;
    std::vector<RequestTrait> otherParts;
    std::vector<RequestTrait> bodies;
    for (const auto &trait : loss.traits) {
        const auto sound = m_own.soundRuns.find(trait);
        const bool isProven = sound != m_own.soundRuns.end();
        if (isProven && sound->second > loss.at) {
            continue;
        }
        if (trait.kind == TraitKind::Body) {
            bodies.push_back(trait);
        } else {
            (isProven ? otherParts : unprovenParts).push_back(trait);
        }
    }
    std::set<RequestTrait> suspects;
    for (const auto *traits : {&unprovenParts, &otherParts, &bodies}) {
        insertBounded(suspects, *traits);
    }
    return suspects;
}

void CrashTracker::recordSoundRun(const std::vector<RequestTrait> &traits, StoreTime beganAt)
{
    for (const auto &trait : traits) {
        m_isOutdated = m_isOutdated || mayChangeVerdict(trait, beganAt);
        addSoundRun(m_own.soundRuns, trait, beganAt);
    }
    if (m_own.soundRuns.size() > maxSoundTraits) {
        dropOldestSoundRuns();
    }
}

bool CrashTracker::mayChangeVerdict(const RequestTrait &trait, StoreTime beganAt) const
{
    const auto suspicion = m_suspects.find(trait);
    if (suspicion == m_suspects.end()) {
        return false;
    }
    // A trait that never went well before needs fewer crashes.
    const auto before = m_own.soundRuns.find(trait);
    return before == m_own.soundRuns.end()
        || (beganAt > before->second && before->second <= suspicion->second.lastCrash);
}

void CrashTracker::dropOldestSoundRuns()
{
    if (m_own.soundRuns.size() <= keptSoundTraits) {
        return;
    }
    std::vector<StoreTime> times;
    times.reserve(m_own.soundRuns.size());
    for (const auto &item : m_own.soundRuns) {
        times.push_back(item.second);
    }
    const auto oldestKept = times.end() - static_cast<std::ptrdiff_t>(keptSoundTraits);
    std::nth_element(times.begin(), oldestKept, times.end());
    // Those of suspects say which of them is not the cause.
    std::erase_if(m_own.soundRuns,
                  [&](const auto &item) { return item.second < *oldestKept && !m_suspects.contains(item.first); });
}

void CrashTracker::restore(const CrashEvidence &own)
{
    const auto newer = std::exchange(m_own.reports, own.reports);
    for (const auto &report : newer) {
        addReport(report);
    }
    for (const auto &[trait, beganAt] : own.soundRuns) {
        recordSoundRun({trait}, beganAt);
    }
    m_sharedSoundRuns = own.soundRuns;
    m_isOutdated = true;
}

void CrashTracker::setPeerEvidence(const std::string &node, const CrashEvidence *evidence)
{
    if (evidence == nullptr) {
        m_peers.erase(node);
    } else {
        m_peers[node] = *evidence;
    }
    m_isOutdated = true;
}

void CrashTracker::setFleetEvidence(const CrashEvidence &evidence)
{
    if (m_fleet != evidence) {
        m_fleet = evidence;
        m_isOutdated = true;
    }
}

void CrashTracker::setConviction(const Conviction &conviction)
{
    auto &known = m_convictions[poisonGroupId(conviction.group)];
    if (conviction.since >= known.conviction.since) {
        known = {conviction, true};
    }
    m_isOutdated = true;
}

void CrashTracker::beginFullRead()
{
    m_peers.clear();
    recordConvictionsLost();
    m_isOutdated = true;
}

void CrashTracker::recordConvictionsLost()
{
    for (auto &item : m_convictions) {
        item.second.isStored = false;
    }
}

CrashVerdict CrashTracker::evidenceOfAll() const
{
    CrashVerdict verdict;
    verdict.addReports(m_own.reports);
    verdict.add(m_fleet);
    for (const auto &item : m_peers) {
        verdict.add(item.second);
    }
    return verdict;
}

CrashVerdict CrashTracker::verdictOn(CrashVerdict evidence, const Suspicions &suspects, StoreTime now) const
{
    // Of the thousands of traits that went well at this node only these matter.
    for (const auto &item : suspects) {
        const auto sound = m_own.soundRuns.find(item.first);
        if (sound != m_own.soundRuns.end()) {
            evidence.addSoundRun(sound->first, sound->second);
        }
    }
    for (const auto &item : m_convictions) {
        if (now >= item.second.conviction.until()) {
            evidence.addExpired(item.second.conviction.group);
        }
    }
    return evidence;
}

bool CrashTracker::isInForce(const Conviction &conviction, const CrashVerdict &verdict, StoreTime now) const
{
    const auto isRefuted = [&](const RequestTrait &trait) {
        const auto sound = verdict.soundRunOf(trait);
        return sound && *sound > conviction.since;
    };
    return now < conviction.until() && std::none_of(conviction.group.begin(), conviction.group.end(), isRefuted);
}

void CrashTracker::dropOld(StoreTime now)
{
    if (now - m_droppedAt < dropInterval) {
        return;
    }
    m_droppedAt = now;
    const auto dropReports = [&](CrashEvidence &evidence) {
        std::erase_if(evidence.reports, [&](const CrashReport &report) { return now - report.at > evidenceLifetime; });
    };
    dropReports(m_own);
    dropReports(m_fleet);
    for (auto &item : m_peers) {
        dropReports(item.second);
    }
    std::erase_if(m_own.soundRuns, [&](const auto &item) { return now - item.second > evidenceLifetime; });
}

CrashTracker::Suspicions CrashTracker::suspicions(const CrashVerdict &verdict) const
{
    auto suspicions = verdict.suspicions();
    for (const auto &item : m_convictions) {
        for (const auto &trait : item.second.conviction.group) {
            auto &last = suspicions[trait].lastCrash;
            last = std::max(last, item.second.conviction.since);
        }
    }
    return suspicions;
}

void CrashTracker::update(StoreTime now)
{
    m_isOutdated = false;
    m_updatedAt = now;
    dropOld(now);
    auto evidence = evidenceOfAll();
    m_suspects = suspicions(evidence);
    const auto known = verdictOn(std::move(evidence), m_suspects, now);
    std::vector<PoisonGroup> refused;
    std::map<std::string, FoundGroup> found;
    for (const auto &group : known.poison()) {
        const auto id = poisonGroupId(group);
        const auto before = m_found.find(id);
        found[id] = {group, before == m_found.end() ? now : before->second.at};
        refused.push_back(group);
    }
    m_found = std::move(found);
    for (const auto &item : m_convictions) {
        if (isInForce(item.second.conviction, known, now)) {
            refused.push_back(item.second.conviction.group);
        }
    }
    if (std::exchange(m_refused, refused) != refused) {
        ++m_verdictSerial;
    }
}

bool CrashTracker::hasPoison(StoreTime now)
{
    const bool hasEvidence = !m_own.reports.empty() || !m_peers.empty() || !m_fleet.empty() || !m_convictions.empty();
    if (hasEvidence && now - m_updatedAt > (m_isOutdated ? minUpdateInterval : updateInterval)) {
        update(now);
    }
    return !m_refused.empty();
}

bool CrashTracker::isPoison(const std::vector<RequestTrait> &traits, StoreTime now)
{
    if (!hasPoison(now)) {
        return false;
    }
    const std::set<RequestTrait> own(traits.begin(), traits.end());
    return std::any_of(m_refused.begin(), m_refused.end(), [&](const PoisonGroup &group) {
        return std::includes(own.begin(), own.end(), group.begin(), group.end());
    });
}

bool CrashTracker::areProven(const std::vector<RequestTrait> &parts) const
{
    return std::all_of(
        parts.begin(), parts.end(), [this](const RequestTrait &part) { return m_own.soundRuns.contains(part); });
}

bool CrashTracker::isConvicted(const RequestTrait &trait, StoreTime now) const
{
    return std::any_of(m_convictions.begin(), m_convictions.end(), [&](const auto &item) {
        return now < item.second.conviction.until() && item.second.conviction.group.contains(trait);
    });
}

CrashEvidence CrashTracker::evidenceToShare(StoreTime now)
{
    dropOld(now);
    CrashEvidence shared;
    shared.reports = m_own.reports;
    // Without this node's sound runs: what they refute still has to be refuted at other nodes.
    for (const auto &[trait, suspicion] : suspicions(evidenceOfAll())) {
        const auto sound = m_own.soundRuns.find(trait);
        if (sound == m_own.soundRuns.end()) {
            continue;
        }
        // What was shared stays, although it may be what makes the trait uncontested: if all nodes took it back at
        // once, all would share it again. It is renewed only while it refutes too little.
        const auto before = m_sharedSoundRuns.find(trait);
        const bool isShared = before != m_sharedSoundRuns.end();
        const bool refutesAll = isShared && before->second > suspicion.lastCrash;
        const bool isContested = suspicion.crashes >= minContestedCrashes || isConvicted(trait, now);
        if (!refutesAll && isContested) {
            shared.soundRuns.insert(*sound);
        } else if (isShared) {
            shared.soundRuns.insert(*before);
        }
    }
    m_sharedSoundRuns = shared.soundRuns;
    return shared;
}

void CrashTracker::convictSettled(StoreTime now)
{
    for (const auto &[id, found] : m_found) {
        const auto before = m_convictions.find(id);
        const bool isConvicted = before != m_convictions.end() && now < before->second.conviction.until();
        if (now - found.at >= settleTime && !isConvicted) {
            const auto count = before == m_convictions.end() ? 1 : before->second.conviction.count + 1;
            m_convictions[id] = {{found.group, now, count}, false};
            m_isOutdated = true;
        }
    }
}

std::vector<Conviction> CrashTracker::convictionsToWrite(StoreTime now)
{
    hasPoison(now);
    convictSettled(now);
    const auto isUnstored = [](const auto &item) {
        return !item.second.isStored;
    };
    std::vector<Conviction> out;
    if (std::none_of(m_convictions.begin(), m_convictions.end(), isUnstored)) {
        return out;
    }
    auto evidence = evidenceOfAll();
    const auto suspects = suspicions(evidence);
    const auto known = verdictOn(std::move(evidence), suspects, now);
    for (const auto &item : m_convictions) {
        if (isUnstored(item) && isInForce(item.second.conviction, known, now)) {
            out.push_back(item.second.conviction);
        }
    }
    return out;
}

} // namespace ibisfork::gateway
