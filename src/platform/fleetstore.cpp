#include "platform/fleetstore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr const char *headKey = "fleet/head";
constexpr const char *rowPrefix = "fleet/row/";
constexpr const char *changePrefix = "fleet/change/";
constexpr const char *changeIdPrefix = "fleet/change-id/";
/// Changes that stay in the log for nodes that catch up; older nodes take a snapshot.
constexpr coord::Revision changesKept = 10000;

std::string changeKey(coord::Revision revision)
{
    return fmt::format("{}{:016}", changePrefix, revision);
}

std::string changeText(const coord::Change &change)
{
    Json rows = Json::array();
    for (const auto &row : change.rows) {
        rows.push_back({{"key", row.key}, {"value", row.value ? Json(*row.value) : Json()}});
    }
    return Json{{"revision", change.revision},
                {"id", change.id},
                {"author", change.author},
                {"reason", change.reason},
                {"rows", rows}}
        .dump();
}

coord::Change changeFrom(const std::string &text)
{
    const Json json = Json::parse(text);
    coord::Change change;
    change.revision = json.at("revision").get<coord::Revision>();
    change.id = json.at("id").get<std::string>();
    change.author = json.at("author").get<std::string>();
    change.reason = json.at("reason").get<std::string>();
    for (const auto &row : json.at("rows")) {
        const auto &value = row.at("value");
        change.rows.push_back({row.at("key").get<std::string>(),
                               value.is_null() ? std::nullopt : std::optional<std::string>(value.get<std::string>())});
    }
    return change;
}

FleetHead headFrom(const StoredRows &rows)
{
    const auto head = rows.find(headKey);
    if (head == rows.end()) {
        return {};
    }
    return {std::stoull(head->second.value), head->second.version};
}

} // namespace

FleetStore::FleetStore(TableClient &table)
    : m_table(table)
{ }

void FleetStore::readHead(std::function<void(std::optional<FleetHead>)> done)
{
    m_table.read({{headKey}, "", ""}, [done = std::move(done)](const std::optional<StoredRows> &rows) {
        done(rows ? std::optional(headFrom(*rows)) : std::nullopt);
    });
}

void FleetStore::readChanges(coord::Revision revision,
                             std::function<void(std::optional<std::vector<coord::Change>>)> done)
{
    const ReadQuery query{{}, changePrefix, changeKey(revision)};
    m_table.read(query, [done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        std::vector<coord::Change> changes;
        for (const auto &[key, row] : *rows) {
            changes.push_back(changeFrom(row.value));
        }
        done(std::move(changes));
    });
}

void FleetStore::readSnapshot(std::function<void(std::optional<coord::Snapshot>)> done)
{
    const ReadQuery query{{headKey}, rowPrefix, ""};
    m_table.read(query, [done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        coord::Snapshot snapshot;
        snapshot.revision = headFrom(*rows).revision;
        const std::string prefix = rowPrefix;
        for (const auto &[key, row] : *rows) {
            if (key.starts_with(prefix)) {
                snapshot.rows[key.substr(prefix.size())] = row.value;
            }
        }
        done(std::move(snapshot));
    });
}

void FleetStore::commit(const coord::Change &change, std::function<void(ChangeOutcome)> done)
{
    const ReadQuery query{{headKey, changeIdPrefix + change.id}, "", ""};
    m_table.read(query, [this, change, done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done({ChangeState::NotSent, 0});
            return;
        }
        const auto earlier = rows->find(changeIdPrefix + change.id);
        if (earlier != rows->end()) {
            done({ChangeState::AlreadyCommitted, std::stoull(earlier->second.value)});
            return;
        }
        commitAfter(headFrom(*rows), change, done);
    });
}

void FleetStore::commitAfter(const FleetHead &head, coord::Change change, std::function<void(ChangeOutcome)> done)
{
    change.revision = head.revision + 1;
    Transaction transaction;
    transaction.conditions = {{headKey, head.rowVersion}, {changeIdPrefix + change.id, 0}};
    transaction.writes = {{headKey, std::to_string(change.revision)},
                          {changeIdPrefix + change.id, std::to_string(change.revision)},
                          {changeKey(change.revision), changeText(change)}};
    for (const auto &row : change.rows) {
        transaction.writes.push_back({rowPrefix + row.key, row.value});
    }
    if (change.revision > changesKept) {
        transaction.writes.push_back({changeKey(change.revision - changesKept), std::nullopt});
    }
    const auto revision = change.revision;
    m_table.commit(transaction, [revision, done = std::move(done)](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            done({ChangeState::Committed, revision});
            return;
        case CommitOutcome::Refused:
            done({ChangeState::Conflict, 0});
            return;
        case CommitOutcome::Unknown:
            done({ChangeState::Unknown, 0});
            return;
        case CommitOutcome::NotSent:
            done({ChangeState::NotSent, 0});
            return;
        }
    });
}

} // namespace ibisfork::platform
