#include "gateway/fleetview.h"

#include <algorithm>

#include "gateway/eventlog.h"
#include "platform/codecerror.h"
#include "platform/factcodec.h"

namespace ibisfork::gateway {

namespace {

void logUnreadable(const Row &row, const platform::CodecError &error)
{
    EventLog::state("row_unreadable").field("key", row.key).field("version", row.version).field("reason", error.what());
}

} // namespace

void FleetView::takeConfiguration(const Row &row)
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
            .field("row", row.version)
            .field("routes", next->routes.size())
            .field("keys", next->workspacesByKey.size());
        m_configuration = std::move(next);
    } catch (const platform::CodecError &error) {
        logUnreadable(row, error);
    }
}

void FleetView::takeRollout(const std::string &service, const Row &row, base::TimePoint now)
{
    if (row.removed) {
        m_rollouts.removeOrder(service);
        EventLog::state("rollout_order_removed").field("service", service);
        return;
    }
    try {
        const auto order = platform::decodeRolloutOrder(row.data);
        m_rollouts.setOrder(order, row.version, base::Duration::zero(), now);
        EventLog::state("rollout_order")
            .field("service", order.service)
            .field("to", order.toVersion)
            .field("period_ms", order.period.count())
            .field("row", row.version);
    } catch (const platform::CodecError &error) {
        logUnreadable(row, error);
    }
}

void FleetView::takeOperatorRows(const std::vector<Row> &rows, bool whole, base::TimePoint now)
{
    std::set<std::string> evacuated;
    std::set<std::string> ordered;
    for (const auto &row : rows) {
        if (row.key == platform::configurationKey()) {
            takeConfiguration(row);
        } else if (const auto service = platform::rolloutServiceOf(row.key)) {
            takeRollout(*service, row, now);
            ordered.insert(*service);
        } else if (const auto domain = platform::evacuatedDomainOf(row.key)) {
            EventLog::state("evacuation").field("domain", *domain).field("ends", row.removed).field("row", row.version);
            if (row.removed) {
                m_evacuated.erase(*domain);
            } else {
                m_evacuated.insert(*domain);
                evacuated.insert(*domain);
            }
        }
    }
    if (!whole) {
        return;
    }
    m_evacuated = evacuated;
    for (const auto &service : m_rollouts.underWay()) {
        if (!ordered.contains(service)) {
            m_rollouts.removeOrder(service);
        }
    }
}

void FleetView::takeEngine(const Row &row, base::TimePoint now)
{
    try {
        const auto entry = platform::decodeEngine(row.key, row.data);
        if (m_engines.put(entry, now)) {
            EventLog::state("engine")
                .field("engine", entry.id)
                .field("service", entry.service)
                .field("domain", entry.failureDomain)
                .field("software", entry.softwareVersion)
                .field("leaving", entry.leaving)
                .field("cold_ms", entry.coldLeft.count())
                .field("row", row.version);
        }
    } catch (const platform::CodecError &error) {
        // An entry that says nothing names no engine to use.
        logUnreadable(row, error);
        m_engines.remove(row.key, false, now);
    }
}

void FleetView::takeEngineRows(const std::vector<Row> &rows, bool whole, bool doubtful, base::TimePoint now)
{
    std::set<std::string> present;
    for (const auto &row : rows) {
        if (row.removed) {
            EventLog::state("engine_unlisted").field("engine", row.key).field("doubtful", doubtful);
            m_engines.remove(row.key, doubtful, now);
        } else {
            present.insert(row.key);
            takeEngine(row, now);
        }
    }
    if (whole) {
        m_engines.keepOnly(present, doubtful, now);
        m_knowsEngines = true;
    }
}

void FleetView::takeStatusRows(const std::vector<Row> &rows, bool whole)
{
    if (whole) {
        m_statusVersions.clear();
    }
    for (const auto &row : rows) {
        const auto service = platform::rolloutServiceOf(row.key);
        if (!service || row.removed) {
            continue;
        }
        m_statusVersions[*service] = row.version;
        try {
            m_rollouts.setStatus(*service, platform::decodeRolloutStatus(row.data));
        } catch (const platform::CodecError &error) {
            logUnreadable(row, error);
        }
    }
}

void FleetView::takeNodeRows(const std::vector<Row> &rows, bool whole)
{
    if (whole) {
        m_nodes.clear();
    }
    for (const auto &row : rows) {
        if (!std::string_view(row.key).starts_with(nodePrefix)) {
            continue;
        }
        if (row.removed) {
            m_nodes.erase(row.key);
        } else {
            m_nodes.insert(row.key);
        }
    }
    EventLog::state("nodes").field("count", m_nodes.size());
}

void FleetView::expire(base::TimePoint now)
{
    for (const auto &id : m_engines.dropGone(now)) {
        EventLog::state("engine_gone").field("engine", id);
    }
}

unsigned FleetView::nodes() const
{
    return std::max(1U, static_cast<unsigned>(m_nodes.size()));
}

std::uint64_t FleetView::statusVersion(const std::string &service) const
{
    const auto found = m_statusVersions.find(service);
    return found == m_statusVersions.end() ? 0 : found->second;
}

std::vector<Engine *> FleetView::usable(const std::string &service, VersionPreference preference)
{
    auto engines = m_engines.ofService(service);
    std::erase_if(engines, [this](const Engine *engine) { return m_evacuated.contains(engine->entry.failureDomain); });
    return m_rollouts.permitted(service, std::move(engines), preference);
}

} // namespace ibisfork::gateway
