#include "platform/fleetstore.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr const char *headKey = "fleet/head";
constexpr const char *acceptedKey = "fleet/accepted";
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

AcceptedRevision acceptedFrom(const StoredRows &rows)
{
    const auto row = rows.find(acceptedKey);
    if (row == rows.end()) {
        return {};
    }
    const Json json = Json::parse(row->second.value);
    return {json.at("revision").get<coord::Revision>(), json.at("members").get<coord::Rows>()};
}

bool touchesSameRow(const coord::Change &left, const coord::RowChange &row)
{
    return std::any_of(left.rows.begin(), left.rows.end(), [&row](const auto &other) { return other.key == row.key; });
}

/// The row for which @p request must not take effect on @p rows, or nothing.
std::optional<std::string> conflictingRow(const ChangeRequest &request, const StoredRows &rows)
{
    if (request.expected) {
        const auto row = rows.find(rowPrefix + request.expected->key);
        if (row == rows.end() || row->second.value != request.expected->value) {
            return request.expected->key;
        }
    }
    if (!request.baseRevision) {
        return std::nullopt;
    }
    const std::string prefix = changePrefix;
    auto next = *request.baseRevision + 1;
    for (auto row = rows.lower_bound(prefix); row != rows.end() && row->first.starts_with(prefix); ++row) {
        const auto other = changeFrom(row->second.value);
        if (other.revision != next++) {
            break;
        }
        for (const auto &wanted : request.change.rows) {
            if (touchesSameRow(other, wanted)) {
                return wanted.key;
            }
        }
    }
    // Where the log does not reach back, nobody can tell which rows were touched.
    const bool logReaches = next == headFrom(rows).revision + 1;
    return logReaches || request.change.rows.empty() ? std::nullopt : std::optional(request.change.rows.front().key);
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

void FleetStore::readFleet(std::function<void(std::optional<StoredFleet>)> done)
{
    const ReadQuery query{{headKey, acceptedKey}, rowPrefix, ""};
    m_table.read(query, [done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        StoredFleet stored;
        stored.snapshot.revision = headFrom(*rows).revision;
        stored.accepted = acceptedFrom(*rows);
        const std::string prefix = rowPrefix;
        for (const auto &[key, row] : *rows) {
            if (key.starts_with(prefix)) {
                stored.snapshot.rows[key.substr(prefix.size())] = row.value;
            }
        }
        done(std::move(stored));
    });
}

void FleetStore::commit(const ChangeRequest &request, std::function<void(ChangeOutcome)> done)
{
    ReadQuery query{{headKey, changeIdPrefix + request.change.id}, "", ""};
    if (request.expected) {
        query.keys.push_back(rowPrefix + request.expected->key);
    }
    if (request.baseRevision) {
        query.prefix = changePrefix;
        query.after = changeKey(*request.baseRevision);
    }
    m_table.read(query, [this, request, done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done({ChangeState::NotSent, 0, {}});
            return;
        }
        commitOnRows(request, *rows, done);
    });
}

void FleetStore::commitOnRows(const ChangeRequest &request,
                              const StoredRows &rows,
                              std::function<void(ChangeOutcome)> done)
{
    const auto earlier = rows.find(changeIdPrefix + request.change.id);
    if (earlier != rows.end()) {
        done({ChangeState::AlreadyCommitted, std::stoull(earlier->second.value), {}});
        return;
    }
    if (const auto row = conflictingRow(request, rows)) {
        done({ChangeState::Conflict, 0, *row});
        return;
    }
    commitAfter(headFrom(rows), request.change, std::move(done));
}

void FleetStore::findChange(const std::string &id, std::function<void(std::optional<coord::Revision>)> done)
{
    const auto key = changeIdPrefix + id;
    m_table.read({{key}, "", ""}, [key, done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        const auto row = rows->find(key);
        done(row == rows->end() ? 0 : std::stoull(row->second.value));
    });
}

void FleetStore::writeAccepted(const AcceptedRevision &accepted)
{
    const Json json{{"revision", accepted.revision}, {"members", accepted.memberRows}};
    m_table.commit({{}, {{acceptedKey, json.dump()}}}, [](CommitOutcome) {});
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
            done({ChangeState::Committed, revision, {}});
            return;
        case CommitOutcome::Refused:
            done({ChangeState::HeadMoved, 0, {}});
            return;
        case CommitOutcome::Unknown:
            done({ChangeState::Unknown, 0, {}});
            return;
        case CommitOutcome::NotSent:
            done({ChangeState::NotSent, 0, {}});
            return;
        }
    });
}

} // namespace ibisfork::platform
