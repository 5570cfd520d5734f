#include "gateway/evidence/evidencetracker.h"

#include <algorithm>

namespace ibisfork::gateway::evidence {

namespace {

/// As long as crashes count.
constexpr std::chrono::minutes entryLifetime{10};

} // namespace

bool EvidenceTracker::put(NodeEvidence evidence, base::TimePoint now)
{
    const auto known = m_entries.find(evidence.incarnation);
    if (known != m_entries.end() && known->second.evidence.serial >= evidence.serial) {
        return false;
    }
    const auto incarnation = evidence.incarnation;
    m_entries[incarnation] = {std::move(evidence), now, ++m_version};
    return true;
}

bool EvidenceTracker::putPart(const NodeEvidence &part, base::TimePoint now)
{
    const auto known = m_entries.find(part.incarnation);
    const bool isKnown = known != m_entries.end() && known->second.evidence.serial >= part.serial;
    // Processes of earlier builds begin lower; an entry without a serial would make a message unreadable.
    if (isKnown || part.serial < firstSerial) {
        return false;
    }
    auto &entry = m_entries[part.incarnation];
    const auto before = entry.evidence.serial;
    entry.evidence.node = part.node;
    entry.evidence.incarnation = part.incarnation;
    // Just below, so that the rest of what was told with this serial is still taken.
    entry.evidence.serial = std::max(before, part.serial - 1);
    for (const auto &[service, evidence] : part.rollouts) {
        entry.evidence.rollouts[service] = evidence;
    }
    entry.heardAt = now;
    entry.changed = ++m_version;
    return true;
}

void EvidenceTracker::forget(Incarnation incarnation)
{
    if (m_entries.erase(incarnation) > 0) {
        ++m_version;
    }
}

void EvidenceTracker::dropOld(base::TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) { return now - item.second.heardAt > entryLifetime; });
}

std::uint64_t EvidenceTracker::serialOf(Incarnation incarnation) const
{
    const auto found = m_entries.find(incarnation);
    return found == m_entries.end() ? 0 : found->second.evidence.serial;
}

FleetEvidence EvidenceTracker::sum(const std::set<Incarnation> &included, const std::set<Incarnation> &excluded) const
{
    FleetEvidence sum;
    for (const auto &[incarnation, entry] : m_entries) {
        if (included.contains(incarnation) && !excluded.contains(incarnation)) {
            sum.add(entry.evidence);
        }
    }
    return sum;
}

FleetEvidence EvidenceTracker::sum(const std::set<Incarnation> &excluded) const
{
    FleetEvidence sum;
    for (const auto &[incarnation, entry] : m_entries) {
        if (!excluded.contains(incarnation)) {
            sum.add(entry.evidence);
        }
    }
    return sum;
}

} // namespace ibisfork::gateway::evidence
