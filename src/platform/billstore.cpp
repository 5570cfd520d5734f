#include "platform/billstore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr const char *billsPrefix = "bills/";
constexpr const char *closedPrefix = "bills-closed/";

std::string logPrefix(const std::string &incarnation)
{
    return billsPrefix + incarnation + "/";
}

std::string batchKey(const std::string &incarnation, std::uint64_t first)
{
    return fmt::format("{}{:020}", logPrefix(incarnation), first);
}

std::string closedKey(const std::string &incarnation)
{
    return closedPrefix + incarnation;
}

std::string batchText(const BillBatch &batch)
{
    return Json{{"first", batch.first}, {"records", batch.records}}.dump();
}

BillBatch batchFrom(const std::string &key, const std::string &text)
{
    const std::string prefix = billsPrefix;
    const Json json = Json::parse(text);
    return {key.substr(prefix.size(), key.rfind('/') - prefix.size()),
            json.at("first").get<std::uint64_t>(),
            json.at("records").get<std::vector<std::string>>()};
}

/// The number after the last record in @p rows.
std::uint64_t nextNumber(const StoredRows &rows, const std::string &incarnation)
{
    std::uint64_t next = 0;
    for (const auto &[key, row] : rows) {
        if (key.starts_with(logPrefix(incarnation))) {
            const auto batch = batchFrom(key, row.value);
            next = std::max(next, batch.first + batch.records.size());
        }
    }
    return next;
}

} // namespace

BillStore::BillStore(TableClient &table)
    : m_table(table)
{ }

void BillStore::append(const BillBatch &batch, std::function<void(AppendResult)> done)
{
    const auto key = batchKey(batch.incarnation, batch.first);
    Transaction transaction;
    transaction.conditions = {{key, 0}, {closedKey(batch.incarnation), 0}};
    transaction.writes = {{key, batchText(batch)}};
    m_table.commit(transaction, [this, batch, done = std::move(done)](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            done({AppendState::Appended, 0});
            return;
        case CommitOutcome::NotSent:
            done({AppendState::Unavailable, 0});
            return;
        case CommitOutcome::Refused:
        case CommitOutcome::Unknown:
            readBack(batch, done);
            return;
        }
    });
}

void BillStore::readBack(const BillBatch &batch, std::function<void(AppendResult)> done)
{
    const ReadQuery query{{batchKey(batch.incarnation, batch.first), closedKey(batch.incarnation)}, "", ""};
    m_table.read(query, [batch, done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done({AppendState::Unavailable, 0});
            return;
        }
        const auto row = rows->find(batchKey(batch.incarnation, batch.first));
        // Another value under this key is the rest that a closer added from its copies.
        if (row != rows->end() && row->second.value == batchText(batch)) {
            done({AppendState::Appended, 0});
            return;
        }
        const auto closed = rows->find(closedKey(batch.incarnation));
        if (closed != rows->end()) {
            done({AppendState::Closed, std::stoull(closed->second.value)});
            return;
        }
        done({AppendState::Unavailable, 0});
    });
}

void BillStore::close(const BillBatch &copies, std::function<void(bool closed)> done)
{
    const ReadQuery query{{closedKey(copies.incarnation)}, logPrefix(copies.incarnation), ""};
    m_table.read(query, [this, copies, done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(false);
        } else if (rows->contains(closedKey(copies.incarnation))) {
            done(true);
        } else {
            closeAfter(copies, nextNumber(*rows, copies.incarnation), done);
        }
    });
}

void BillStore::closeAfter(const BillBatch &copies, std::uint64_t next, std::function<void(bool closed)> done)
{
    BillBatch rest{copies.incarnation, std::max(next, copies.first), {}};
    const auto skipped
        = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(rest.first - copies.first, copies.records.size()));
    rest.records.assign(copies.records.begin() + skipped, copies.records.end());
    const auto end = rest.records.empty() ? next : rest.first + rest.records.size();
    // The owner's next batch would go under the same key, so that only one of the two is added.
    const auto key = batchKey(copies.incarnation, next);
    Transaction transaction;
    transaction.conditions = {{key, 0}, {closedKey(copies.incarnation), 0}};
    transaction.writes = {{closedKey(copies.incarnation), std::to_string(end)}};
    if (!rest.records.empty()) {
        transaction.writes.push_back({key, batchText(rest)});
    }
    m_table.commit(transaction, [this, copies, done = std::move(done)](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Refused) {
            close(copies, done);
            return;
        }
        done(outcome == CommitOutcome::Committed);
    });
}

void BillStore::readAll(std::function<void(std::optional<std::vector<BillBatch>>)> done)
{
    m_table.read({{}, billsPrefix, ""}, [done = std::move(done)](const std::optional<StoredRows> &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        std::vector<BillBatch> batches;
        for (const auto &[key, row] : *rows) {
            batches.push_back(batchFrom(key, row.value));
        }
        done(std::move(batches));
    });
}

} // namespace ibisfork::platform
