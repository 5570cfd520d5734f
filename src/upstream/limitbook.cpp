#include "upstream/limitbook.h"

#include <algorithm>
#include <utility>

#include <ibisfork/base/log.h>

namespace ibisfork::upstream {

namespace {

constexpr std::chrono::seconds defaultFreshFor{3};
/// An upstream not heard from for so long gets one request at a time until it answers.
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

LimitBook::LimitBook(const std::string &node, std::string incarnation, coord::SlotTimeBounds times)
    : m_node(node)
    , m_incarnation(std::move(incarnation))
    , m_slots(node, times)
    , m_freshFor(defaultFreshFor)
{ }

void LimitBook::update(const fleet::Config &config, base::TimePoint now)
{
    const auto self = config.members.find(m_node);
    m_member = self != config.members.end() && self->second.incarnation == m_incarnation;
    takeUpstreams(config, now);
    m_slots.update(config.revision, m_member, slotMembers(config), slotUpstreams(config), now);
}

void LimitBook::takeUpstreams(const fleet::Config &config, base::TimePoint now)
{
    // What still runs at an upstream that is gone counts if it comes back.
    std::erase_if(m_entries, [&](const auto &entry) {
        return !config.upstreams.contains(entry.first) && entry.second.running == 0;
    });
    for (const auto &[id, upstream] : config.upstreams) {
        auto &entry = m_entries.try_emplace(id, now).first->second;
        entry.limit = upstream.limit;
        entry.engine = upstream.kind == fleet::UpstreamKind::Engine;
        const bool wasOpen = std::exchange(entry.open, isOpen(config, upstream));
        if (entry.open && !wasOpen) {
            sawColdStart(id, now, ColdStartSign::BroughtBack);
        }
    }
}

bool LimitBook::isOpen(const fleet::Config &config, const fleet::Upstream &upstream)
{
    const auto domain = config.failureDomains.find(upstream.failureDomain);
    const bool domainIn = domain == config.failureDomains.end() || domain->second.state == fleet::DomainState::In;
    return domainIn && upstream.state == fleet::UpstreamState::Live;
}

std::uint32_t LimitBook::free(const std::string &upstream, base::TimePoint now) const
{
    const auto *entry = find(upstream);
    if (entry == nullptr || !entry->open || entry->leaving || entry->gone) {
        return 0;
    }
    if (entry->engine && entry->unanswered > 0 && now - entry->heardAt > probeAfter) {
        return 0;
    }
    const auto most = m_slots.usable(upstream, allowed(*entry, now), now);
    return most - std::min(most, entry->running);
}

std::uint32_t LimitBook::allowed(const Entry &entry, base::TimePoint now) const
{
    // An upstream that is not heard from may have started afresh.
    const bool stale = entry.engine && now - entry.heardAt > m_freshFor;
    return stale || entry.suspectedAt ? entry.limit.cold : entry.ramp.allowed(rampLimit(entry.limit), now);
}

std::uint32_t LimitBook::running(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    return entry == nullptr ? 0 : entry->running;
}

double LimitBook::occupancy(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    if (entry == nullptr) {
        return 1.0;
    }
    // The report lags: this node's own work since then is added, and never less than that is assumed.
    const auto reported = entry->reportedRunning - std::min(entry->reportedRunning, entry->ownAtReport);
    return static_cast<double>(reported + entry->running) / std::max<std::uint32_t>(1, entry->limit.warm);
}

std::vector<std::string> LimitBook::held() const
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

bool LimitBook::settled(base::TimePoint now) const
{
    const auto upstreams = held();
    const auto waiting = std::count_if(upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
        return m_slots.hasPendingSlots(upstream, now);
    });
    return 2 * waiting <= std::ssize(upstreams);
}

void LimitBook::started(const std::string &upstream)
{
    if (auto *entry = find(upstream)) {
        ++entry->running;
        ++entry->unanswered;
    }
}

void LimitBook::ended(const std::string &upstream)
{
    if (auto *entry = find(upstream)) {
        entry->running -= std::min<std::uint32_t>(entry->running, 1);
        entry->unanswered = std::min(entry->unanswered, entry->running);
    }
}

void LimitBook::sawIncarnation(const std::string &upstream, const std::string &incarnation, base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    entry->heardAt = now;
    entry->gone = false;
    entry->unanswered -= std::min<std::uint32_t>(entry->unanswered, 1);
    const auto before = std::exchange(entry->incarnation, incarnation);
    if (!before.empty() && before != incarnation) {
        sawColdStart(upstream, now, ColdStartSign::NewIncarnation);
    }
}

void LimitBook::sawColdStart(const std::string &upstream, base::TimePoint now, ColdStartSign sign)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    entry->ramp.recordColdStart(now);
    base::LogLine(base::LogLevel::Warning, "cold-start")
        .field("upstream", upstream)
        .field("sign", base::nameOf(coldStartSignNames, sign));
    // Every node sees the change that brings an upstream back, and a notice must not echo.
    if (m_notice && sign != ColdStartSign::BroughtBack && sign != ColdStartSign::Notice) {
        m_notice({upstream, entry->incarnation, sign});
    }
}

void LimitBook::sawFirstToken(const std::string &upstream, base::Duration after, base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry != nullptr && entry->firstTokens.add(after)) {
        sawColdStart(upstream, now, ColdStartSign::SlowFirstToken);
    }
}

void LimitBook::sawLoad(const std::string &upstream,
                        const LoadReport &report,
                        base::TimePoint askedAt,
                        base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry == nullptr) {
        return;
    }
    const auto madeAt = askedAt - report.age;
    const bool known = entry->incarnation == report.incarnation;
    if (!known && !std::exchange(entry->incarnation, report.incarnation).empty()) {
        sawColdStart(upstream, now, ColdStartSign::NewIncarnation);
    }
    if (report.uptime) {
        entry->ramp.recordUptime(*report.uptime, now);
    }
    entry->heardAt = std::max(entry->heardAt, madeAt);
    if (entry->suspectedAt && madeAt >= *entry->suspectedAt) {
        entry->suspectedAt.reset();
    }
    entry->leaving = report.leaving;
    entry->gone = false;
    entry->reportedRunning = report.running;
    entry->ownAtReport = entry->running;
    m_slots.recordRuns(upstream, report.running, madeAt);
}

void LimitBook::sawRefused(const std::string &upstream, base::TimePoint now)
{
    auto *entry = find(upstream);
    if (entry != nullptr && !std::exchange(entry->gone, true)) {
        entry->suspectedAt.reset();
        sawColdStart(upstream, now, ColdStartSign::ConnectionLost);
    }
}

void LimitBook::sawBroken(const std::string &upstream, base::TimePoint now)
{
    if (suspect(upstream, now) && m_notice) {
        m_notice({upstream, find(upstream)->incarnation, ColdStartSign::ConnectionLost});
    }
}

bool LimitBook::suspect(const std::string &upstream, base::TimePoint now)
{
    auto *entry = find(upstream);
    return entry != nullptr && !std::exchange(entry->suspectedAt, now);
}

bool LimitBook::suspected(const std::string &upstream) const
{
    const auto *entry = find(upstream);
    return entry != nullptr && entry->suspectedAt;
}

void LimitBook::takeNotice(const Notice &notice, base::TimePoint now)
{
    // The upstream's own report can refute all but this sign.
    if (notice.sign == ColdStartSign::SlowFirstToken) {
        sawColdStart(notice.upstream, now, ColdStartSign::Notice);
    } else {
        suspect(notice.upstream, now);
    }
}

LimitBook::Entry *LimitBook::find(const std::string &upstream)
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

const LimitBook::Entry *LimitBook::find(const std::string &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace ibisfork::upstream
