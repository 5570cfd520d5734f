#include "upstream/concurrencytracker.h"

#include <algorithm>
#include <utility>

#include <ibisfork/base/log.h>

namespace ibisfork::upstream {

namespace {

constexpr std::chrono::seconds defaultFreshnessTimeout{3};
/// An engine that has not responded for this long gets one request at a time until it responds.
constexpr std::chrono::seconds probeAfter{1};

coord::RampLimit rampLimit(const fleet::ConcurrencyLimit &limit)
{
    return {limit.cold, limit.warm, limit.ramp};
}

std::string regionOf(const fleet::Config &config, const std::string &failureDomain)
{
    const auto domain = config.failureDomains.find(failureDomain);
    return domain == config.failureDomains.end() ? std::string() : domain->second.region;
}

std::vector<coord::SlotMember> slotMembers(const fleet::Config &config)
{
    std::vector<coord::SlotMember> members;
    members.reserve(config.members.size());
    for (const auto &[name, member] : config.members) {
        members.push_back({name, member.region});
    }
    return members;
}

std::vector<coord::SlotUpstream> slotUpstreams(const fleet::Config &config)
{
    std::vector<coord::SlotUpstream> upstreams;
    upstreams.reserve(config.upstreams.size());
    for (const auto &[id, upstream] : config.upstreams) {
        const auto slots = std::max(upstream.limit.cold, upstream.limit.warm);
        upstreams.push_back({id, regionOf(config, upstream.failureDomain), slots});
    }
    return upstreams;
}

} // namespace

ConcurrencyTracker::ConcurrencyTracker(const std::string &node, std::string incarnation, coord::SlotTimeBounds times)
    : m_node(node)
    , m_incarnation(std::move(incarnation))
    , m_slots(node, times)
    , m_freshnessTimeout(defaultFreshnessTimeout)
{ }

void ConcurrencyTracker::update(const fleet::Config &config, base::TimePoint now)
{
    const auto self = config.members.find(m_node);
    m_member = self != config.members.end() && self->second.incarnation == m_incarnation;
    applyUpstreams(config, now);
    m_slots.update(config.revision, m_member, slotMembers(config), slotUpstreams(config), now);
}

void ConcurrencyTracker::applyUpstreams(const fleet::Config &config, base::TimePoint now)
{
    // Entries of removed upstreams with requests in flight are kept, so that these count if the upstream is added
    // again.
    std::erase_if(m_entries, [&](const auto &entry) {
        return !config.upstreams.contains(entry.first) && entry.second.running == 0;
    });
    for (const auto &[id, upstream] : config.upstreams) {
        auto &entry = m_entries.try_emplace(id, now).first->second;
        entry.limit = upstream.limit;
        entry.engine = upstream.kind == fleet::UpstreamKind::Engine;
        const bool wasInService = std::exchange(entry.inService, isInService(config, upstream));
        if (entry.inService && !wasInService) {
            recordColdStart(id, now, ColdStartSignal::BroughtBack);
        }
    }
}

bool ConcurrencyTracker::isInService(const fleet::Config &config, const fleet::Upstream &upstream)
{
    const auto domain = config.failureDomains.find(upstream.failureDomain);
    const bool domainIn = domain == config.failureDomains.end() || domain->second.state == fleet::DomainState::In;
    return domainIn && upstream.state == fleet::UpstreamState::Live;
}

std::uint32_t ConcurrencyTracker::availableCapacity(const std::string &upstream, base::TimePoint now) const
{
    const auto *entry = find(upstream);
    if (entry == nullptr || !entry->inService || entry->draining || entry->unreachable) {
        return 0;
    }
    if (entry->engine && entry->unanswered > 0 && now - entry->lastResponseAt > probeAfter) {
        return 0;
    }
    const auto most = m_slots.usable(upstream, allowed(*entry, now), now);
    return most - std::min(most, entry->running);
}

std::uint32_t ConcurrencyTracker::allowed(const Entry &entry, base::TimePoint now) const
{
    // An engine without a recent response may have restarted.
    const bool stale = entry.engine && now - entry.lastResponseAt > m_freshnessTimeout;
    return stale || entry.restartSuspectedAt ? entry.limit.cold : entry.ramp.allowed(rampLimit(entry.limit), now);
}

std::uint32_t ConcurrencyTracker::running(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    return entry == nullptr ? 0 : entry->running;
}

double ConcurrencyTracker::occupancy(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    if (entry == nullptr) {
        return 1.0;
    }
    // The report is older than this node's own count, so this node's share at the time of the report is replaced by its
    // current count. The total is therefore never below this node's own requests.
    const auto reported = entry->reportedRunning - std::min(entry->reportedRunning, entry->ownRunningAtReport);
    return static_cast<double>(reported + entry->running) / std::max<std::uint32_t>(1, entry->limit.warm);
}

std::vector<std::string> ConcurrencyTracker::heldUpstreams() const
{
    std::vector<std::string> held;
    for (const auto &[id, entry] : m_entries) {
        if (m_slots.holds(id)) {
            held.push_back(id);
        }
    }
    std::sort(held.begin(), held.end());
    return held;
}

bool ConcurrencyTracker::hasMostSlotsUsable(base::TimePoint now) const
{
    const auto upstreams = heldUpstreams();
    const auto waiting = std::count_if(upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
        return m_slots.hasPendingSlots(upstream, now);
    });
    return 2 * waiting <= std::ssize(upstreams);
}

void ConcurrencyTracker::recordStart(const std::string &upstream)
{
    if (auto *entry = find(upstream)) {
        ++entry->running;
        ++entry->unanswered;
    }
}

void ConcurrencyTracker::recordEnd(const std::string &upstream)
{
    if (auto *entry = find(upstream)) {
        entry->running -= std::min<std::uint32_t>(entry->running, 1);
        entry->unanswered = std::min(entry->unanswered, entry->running);
    }
}

void ConcurrencyTracker::recordIncarnation(const std::string &upstream,
                                           const std::string &incarnation,
                                           base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    entry->lastResponseAt = now;
    entry->unreachable = false;
    entry->unanswered -= std::min<std::uint32_t>(entry->unanswered, 1);
    const auto before = std::exchange(entry->incarnation, incarnation);
    if (!before.empty() && before != incarnation) {
        recordColdStart(upstream, now, ColdStartSignal::NewIncarnation);
    }
}

void ConcurrencyTracker::recordColdStart(const std::string &upstream, base::TimePoint now, ColdStartSignal signal)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    entry->ramp.recordColdStart(now);
    base::LogLine(base::LogLevel::Warning, "cold-start")
        .field("upstream", upstream)
        .field("sign", base::nameOf(coldStartSignalNames, signal));
    // Every node sees the configuration change that brings an upstream back, and a received notice must not be sent
    // on.
    if (m_notice && signal != ColdStartSignal::BroughtBack && signal != ColdStartSignal::Notice) {
        m_notice({upstream, entry->incarnation, signal});
    }
}

void ConcurrencyTracker::recordFirstToken(const std::string &upstream, base::Duration after, base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry != nullptr && entry->slowFirstTokenDetector.add(after)) {
        recordColdStart(upstream, now, ColdStartSignal::SlowFirstToken);
    }
}

void ConcurrencyTracker::recordLoadReport(const std::string &upstream,
                                          const LoadReport &report,
                                          base::TimePoint requestedAt,
                                          base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    const auto madeAt = requestedAt - report.age;
    const bool known = entry->incarnation == report.incarnation;
    if (!known && !std::exchange(entry->incarnation, report.incarnation).empty()) {
        recordColdStart(upstream, now, ColdStartSignal::NewIncarnation);
    }
    if (report.uptime) {
        entry->ramp.recordUptime(*report.uptime, now);
    }
    entry->lastResponseAt = std::max(entry->lastResponseAt, madeAt);
    if (entry->restartSuspectedAt && madeAt >= *entry->restartSuspectedAt) {
        entry->restartSuspectedAt.reset();
    }
    entry->draining = report.draining;
    entry->unreachable = false;
    entry->reportedRunning = report.running;
    entry->ownRunningAtReport = entry->running;
    m_slots.recordRuns(upstream, report.running, madeAt);
}

void ConcurrencyTracker::recordConnectionRefused(const std::string &upstream, base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry != nullptr && !std::exchange(entry->unreachable, true)) {
        entry->restartSuspectedAt.reset();
        recordColdStart(upstream, now, ColdStartSignal::ConnectionLost);
    }
}

void ConcurrencyTracker::recordConnectionLost(const std::string &upstream, base::TimePoint now)
{
    if (suspectRestart(upstream, now) && m_notice) {
        m_notice({upstream, find(upstream)->incarnation, ColdStartSignal::ConnectionLost});
    }
}

bool ConcurrencyTracker::suspectRestart(const std::string &upstream, base::TimePoint now)
{
    auto *entry = find(upstream);
    return entry != nullptr && !std::exchange(entry->restartSuspectedAt, now);
}

bool ConcurrencyTracker::isRestartSuspected(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    return entry != nullptr && entry->restartSuspectedAt;
}

void ConcurrencyTracker::applyNotice(const ColdStartNotice &notice, base::TimePoint now)
{
    // A load report with an unchanged incarnation disproves every signal except a slow first token.
    if (notice.signal == ColdStartSignal::SlowFirstToken) {
        recordColdStart(notice.upstream, now, ColdStartSignal::Notice);
    } else {
        suspectRestart(notice.upstream, now);
    }
}

ConcurrencyTracker::Entry *ConcurrencyTracker::find(const std::string &upstream)
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

const ConcurrencyTracker::Entry *ConcurrencyTracker::find(const std::string &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace ibisfork::upstream
