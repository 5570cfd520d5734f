#include "gateway/fleetview.h"

#include <algorithm>
#include <iterator>

#include "gateway/eventlog.h"
#include "gateway/noderow.h"
#include "gateway/rolloutplan.h"
#include "platform/codecerror.h"
#include "platform/factcodec.h"

namespace ibisfork::gateway {

namespace {

void logDecodeError(const Row &row, const platform::CodecError &error)
{
    EventLog::state("row_unreadable")
        .field("key", row.key)
        .field("version", row.version.text())
        .field("reason", error.what());
}

/// Row version known for @p service, 0 if there is none.
RowVersion versionOf(const std::map<std::string, RowVersion> &versions, const std::string &service)
{
    const auto found = versions.find(service);
    return found == versions.end() ? RowVersion() : found->second;
}

} // namespace

void FleetView::applyConfiguration(const Row &row)
{
    if (row.removed || row.version <= m_configurationRow) {
        return;
    }
    try {
        auto next = std::make_shared<Configuration>(platform::decodeConfiguration(row.data));
        const bool older = m_configuration && next->version < m_configuration->version;
        m_configurationRow = row.version;
        if (older) {
            EventLog::state("configuration_older").field("version", next->version);
            return;
        }
        EventLog::state("configuration")
            .field("version", next->version)
            .field("row", row.version.text())
            .field("routes", next->routes.size())
            .field("keys", next->workspacesByKey.size());
        m_configuration = std::move(next);
    } catch (const platform::CodecError &error) {
        logDecodeError(row, error);
    }
}

void FleetView::applyRollout(const std::string &service, const Row &row, base::TimePoint now)
{
    if (row.removed) {
        m_rollouts.removeOrder(service);
        EventLog::state("rollout_order_removed").field("service", service);
        return;
    }
    try {
        const auto order = platform::decodeRolloutOrder(row.data);
        m_rollouts.setOrder(order, row.version, now, m_lostOrders.isRecovering(now));
        EventLog::state("rollout_order")
            .field("service", order.service)
            .field("to", order.toVersion)
            .field("period_ms", order.period.count())
            .field("row", row.version.text());
    } catch (const platform::CodecError &error) {
        logDecodeError(row, error);
    }
}

void FleetView::applyOperatorRows(const TableChange &change, base::TimePoint now)
{
    if (change.isFullRead) {
        endUnlistedOrders(change, now);
    }
    for (const auto &row : change.rows) {
        m_lostOrders.settle(row.key);
        if (row.key == platform::configurationKey()) {
            applyConfiguration(row);
        } else if (const auto service = platform::rolloutServiceOf(row.key)) {
            applyRollout(*service, row, now);
        } else if (const auto domain = platform::evacuatedDomainOf(row.key)) {
            applyEvacuation(*domain, row);
        }
    }
}

void FleetView::applyEvacuation(const std::string &domain, const Row &row)
{
    EventLog::state("evacuation").field("domain", domain).field("ends", row.removed).field("row", row.version.text());
    if (row.removed) {
        m_evacuated.erase(domain);
    } else {
        m_evacuated.insert(domain);
    }
}

void FleetView::endUnlistedOrders(const TableChange &change, base::TimePoint now)
{
    std::set<std::string> unlisted;
    for (const auto &domain : m_evacuated) {
        unlisted.insert(platform::evacuationKey(domain));
    }
    for (const auto &service : m_rollouts.servicesWithOrders()) {
        unlisted.insert(platform::rolloutStatusKey(service));
    }
    for (const auto &row : change.rows) {
        unlisted.erase(row.key);
    }
    if (change.isNewEra) {
        EventLog::state("orders_lost").field("count", unlisted.size());
        m_lostOrders.begin(std::move(unlisted), now);
        return;
    }
    for (const auto &key : unlisted) {
        endOrder(key);
    }
}

void FleetView::endOrder(const std::string &key)
{
    if (const auto service = platform::rolloutServiceOf(key)) {
        m_rollouts.removeOrder(*service);
    } else if (const auto domain = platform::evacuatedDomainOf(key)) {
        m_evacuated.erase(*domain);
    }
}

void FleetView::applyEngine(const Row &row, bool isNewEra, base::TimePoint now)
{
    try {
        const auto entry = platform::decodeEngine(row.key, row.data);
        m_firstEntries.try_emplace({entry.service, entry.softwareVersion}, row.version);
        const auto listing = isNewEra ? Listing::OfOlderCopy : Listing::Current;
        if (m_engines.put(entry, now, listing)) {
            EventLog::state("engine")
                .field("engine", entry.id)
                .field("service", entry.service)
                .field("domain", entry.failureDomain)
                .field("software", entry.softwareVersion)
                .field("leaving", m_engines.find(entry.id)->leaving)
                .field("cold_ms", entry.coldLeft.count())
                .field("row", row.version.text());
        }
    } catch (const platform::CodecError &error) {
        // An engine whose entry cannot be decoded must not be used.
        logDecodeError(row, error);
        m_engines.remove(row.key, false, now);
    }
}

bool FleetView::isHeartbeat(const Row &before, const Row &now)
{
    try {
        return platform::decodeEngine(before.key, before.data).isUnchangedIn(platform::decodeEngine(now.key, now.data));
    } catch (const platform::CodecError &) {
        // Counts as a change, so that each node receives the row and logs the error.
        return false;
    }
}

void FleetView::applyEngineRows(const TableChange &change, base::TimePoint now)
{
    std::set<std::string> present;
    for (const auto &row : change.rows) {
        if (row.removed) {
            const bool doubtful = row.doubtful || change.afterOutage;
            EventLog::state("engine_unlisted").field("engine", row.key).field("doubtful", doubtful);
            m_engines.remove(row.key, doubtful, now);
        } else {
            present.insert(row.key);
            applyEngine(row, change.isNewEra, now);
        }
    }
    if (change.isFullRead) {
        m_engines.removeAllExcept(present, change.afterOutage, now);
        m_enginesLoaded = true;
    }
}

void FleetView::applyStatusRows(const TableChange &change)
{
    if (change.isFullRead) {
        m_statusVersions.clear();
    }
    for (const auto &row : change.rows) {
        const auto service = platform::rolloutServiceOf(row.key);
        if (!service || row.removed) {
            continue;
        }
        m_statusVersions[*service] = row.version;
        try {
            m_rollouts.setStatus(*service, platform::decodeRolloutStatus(row.data), row.version);
        } catch (const platform::CodecError &error) {
            logDecodeError(row, error);
        }
    }
}

void FleetView::applyRolloutPlan(const Row &row, std::int64_t storeNowMs, base::TimePoint now)
{
    const auto service = row.key.substr(rolloutPlanPrefix.size());
    m_planVersions[service] = row.removed ? RowVersion() : row.version;
    const auto plan = decodeRolloutPlan(row.data);
    if (row.removed || !plan) {
        return;
    }
    const auto elapsed = std::chrono::milliseconds(std::max<std::int64_t>(0, storeNowMs - plan->startMs));
    std::optional<base::TimePoint> fullAt;
    if (plan->fullMs) {
        const auto fullIn = *plan->fullMs - storeNowMs;
        fullAt = now + std::chrono::milliseconds(fullIn);
        EventLog::state("rollout_full_step_read").field("service", service).field("in_ms", fullIn);
    }
    m_rollouts.setPlan(service, plan->orderRow, now - elapsed, fullAt);
}

void FleetView::applyEvidence(const Row &row)
{
    if (row.removed) {
        return;
    }
    const auto stored = decodeEvidence(row.data);
    if (stored && !stored->isExchanged) {
        m_rollouts.setEvidence(*stored);
    } else if (!stored) {
        EventLog::state("evidence_unreadable").field("key", row.key).field("version", row.version.text());
    }
}

void FleetView::applyNode(const Row &row)
{
    const auto name = row.key.substr(nodePrefix.size());
    m_lostNodes.settle(name);
    forgetNode(name);
    if (row.removed) {
        return;
    }
    m_nodes.insert(name);
    m_nodeRows[name] = row.data;
    if (auto peer = decodeNodeRow(name, row.data)) {
        m_peers.emplace(name, std::move(*peer));
    }
}

void FleetView::forgetNode(const std::string &name)
{
    m_nodes.erase(name);
    m_nodeRows.erase(name);
    m_peers.erase(name);
}

std::vector<PeerNode> FleetView::peersOf(const std::string &self) const
{
    std::vector<PeerNode> peers;
    for (const auto &[name, peer] : m_peers) {
        if (name != self) {
            peers.push_back(peer);
        }
    }
    return peers;
}

bool FleetView::hasRowReaders(const std::string &self) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.first != self && !item.second.exchangesEvidence;
    });
}

bool FleetView::hasRowOf(const PeerNode &node) const
{
    const auto found = m_nodeRows.find(node.name);
    return found != m_nodeRows.end() && !m_lostNodes.contains(node.name) && isRowOf(node, found->second);
}

void FleetView::applyOwnRows(const TableChange &change, std::int64_t storeNowMs, base::TimePoint now)
{
    if (change.isNewEra) {
        m_lostNodes.begin(m_nodes, now);
    } else if (change.isFullRead) {
        m_nodes.clear();
        m_nodeRows.clear();
        m_peers.clear();
    }
    if (change.isFullRead) {
        m_nodesKnown = true;
        m_planVersions.clear();
    }
    for (const auto &row : change.rows) {
        const std::string_view key = row.key;
        if (key.starts_with(rolloutPlanPrefix)) {
            applyRolloutPlan(row, storeNowMs, now);
        } else if (key.starts_with(evidencePrefix)) {
            applyEvidence(row);
        } else if (key.starts_with(nodePrefix)) {
            applyNode(row);
        }
    }
    m_rollouts.setNodes(nodes());
    EventLog::state("own_rows").field("nodes", m_nodes.size()).field("rows", change.rows.size());
}

void FleetView::applyStatus(const std::string &service, const RolloutStatus &status, RowVersion row)
{
    m_statusVersions[service] = row;
    m_rollouts.setStatus(service, status, row);
}

void FleetView::dropLostNodes(base::TimePoint now)
{
    const auto expired = m_lostNodes.takeExpired(now);
    for (const auto &name : expired) {
        forgetNode(name);
    }
    if (!expired.empty()) {
        m_rollouts.setNodes(nodes());
    }
}

void FleetView::dropExpired(base::TimePoint now)
{
    for (const auto &key : m_lostOrders.takeExpired(now)) {
        EventLog::state("order_not_written_again").field("key", key);
        endOrder(key);
    }
    dropLostNodes(now);
    for (const auto &id : m_engines.removeExpired(now)) {
        EventLog::state("engine_gone").field("engine", id);
    }
}

unsigned FleetView::nodes() const
{
    return std::max(1U, static_cast<unsigned>(m_nodes.size()));
}

RowVersion FleetView::statusVersion(const std::string &service) const
{
    return versionOf(m_statusVersions, service);
}

RowVersion FleetView::planVersion(const std::string &service) const
{
    return versionOf(m_planVersions, service);
}

bool FleetView::orderWouldBeKnown(const Engine &engine) const
{
    const auto first = m_firstEntries.find({engine.entry.service, engine.entry.softwareVersion});
    return first == m_firstEntries.end() || first->second <= m_operatorVersion;
}

std::vector<Engine *> FleetView::usableEngines(const std::string &service, VersionPreference preference)
{
    auto engines = m_engines.ofService(service);
    std::erase_if(engines, [this](const Engine *engine) { return m_evacuated.contains(engine->entry.failureDomain); });
    if (preference == VersionPreference::Any) {
        std::vector<Engine *> ordered;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(ordered), [this](const Engine *engine) {
            return orderWouldBeKnown(*engine);
        });
        // If all versions are new to this node, none of them is the one on trial as far as it can tell.
        engines = ordered.empty() ? engines : ordered;
    }
    return m_rollouts.permitted(service, std::move(engines), preference);
}

} // namespace ibisfork::gateway
