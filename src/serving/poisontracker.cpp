#include "serving/poisontracker.h"

#include <algorithm>

#include <ibisfork/fleet/digest.h>

namespace ibisfork::serving {

namespace {

constexpr unsigned crashThreshold = 2;
/// Bounds the memory used when engines crash continuously.
constexpr std::size_t maxSuspects = 10000;

} // namespace

std::string fingerprintOf(const std::string &workspace, const std::string &body)
{
    return fleet::sha256Hex(workspace + '\n' + body);
}

PoisonTracker::PoisonTracker(PoisonHandler handler)
    : m_onPoison(std::move(handler))
{ }

bool PoisonTracker::isPoison(const std::string &fingerprint) const
{
    return m_localPoison.contains(fingerprint) || m_fleetPoison.contains(fingerprint);
}

std::vector<std::string> PoisonTracker::excludedUpstreams(const std::string &fingerprint) const
{
    std::vector<std::string> upstreams;
    if (!m_crashCounts.contains(fingerprint)) {
        return upstreams;
    }
    for (const auto &[name, run] : m_runs) {
        if (m_crashCounts.contains(run.fingerprint)) {
            upstreams.push_back(run.upstream);
        }
    }
    return upstreams;
}

void PoisonTracker::recordStart(const std::string &upstream, const std::string &run, const std::string &fingerprint)
{
    m_runs[run] = {upstream, fingerprint, false};
}

void PoisonTracker::recordEnd(const std::string &run)
{
    m_runs.erase(run);
}

void PoisonTracker::recordCrash(const std::string &run)
{
    const auto first = m_runs.find(run);
    if (first == m_runs.end() || first->second.crashCounted) {
        return;
    }
    std::set<std::string> present;
    for (auto &[name, other] : m_runs) {
        if (other.upstream == first->second.upstream && !other.crashCounted) {
            other.crashCounted = true;
            present.insert(other.fingerprint);
        }
    }
    countCrash(present);
}

void PoisonTracker::countCrash(const std::set<std::string> &present)
{
    unsigned most = 0;
    for (const auto &fingerprint : present) {
        const auto held = m_crashCounts.find(fingerprint);
        most = std::max(most, held == m_crashCounts.end() ? 0U : held->second);
    }
    std::vector<std::string> likely;
    for (const auto &fingerprint : present) {
        const auto held = m_crashCounts.find(fingerprint);
        if ((held == m_crashCounts.end() ? 0U : held->second) == most) {
            likely.push_back(fingerprint);
        }
    }
    // Several requests have the same highest count, so the cause can't be determined yet. Since suspects are not sent
    // to the same engine, the next crash will distinguish them.
    if (most > 0 && likely.size() > 1) {
        return;
    }
    for (const auto &fingerprint : likely) {
        incrementCrashCount(fingerprint);
    }
}

void PoisonTracker::incrementCrashCount(const std::string &fingerprint)
{
    if (!m_crashCounts.contains(fingerprint) && m_crashCounts.size() >= maxSuspects) {
        return;
    }
    if (++m_crashCounts[fingerprint] >= crashThreshold && m_localPoison.insert(fingerprint).second && m_onPoison) {
        m_onPoison(fingerprint);
    }
}

void PoisonTracker::recordAnswer(const std::string &fingerprint)
{
    if (!isPoison(fingerprint)) {
        m_crashCounts.erase(fingerprint);
    }
}

void PoisonTracker::setFleetPoison(const std::set<std::string> &fingerprints)
{
    for (const auto &fingerprint : m_fleetPoison) {
        if (!fingerprints.contains(fingerprint)) {
            m_localPoison.erase(fingerprint);
            m_crashCounts.erase(fingerprint);
        }
    }
    m_fleetPoison = fingerprints;
}

} // namespace ibisfork::serving
