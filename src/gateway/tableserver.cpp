#include "gateway/tableserver.h"

#include <algorithm>

#include "gateway/fleetview.h"
#include "http/status.h"
#include "net/deletelater.h"

namespace ibisfork::gateway {

namespace {

/// Upper limit for the wait that a query may ask for.
constexpr std::chrono::milliseconds maxWait{2000};

} // namespace

TableServer::TableServer(event_base *base, std::function<std::uint64_t()> evidenceVersion)
    : m_base(base)
    , m_evidenceVersion(std::move(evidenceVersion))
{ }

void TableServer::add(const std::string &table, const TableWatch &watch, TableCache::IsUnchanged isUnchanged)
{
    m_tables[table] = {&watch, TableCache(std::move(isUnchanged))};
}

void TableServer::update(const std::string &table, const TableChange &change)
{
    const auto now = base::monotonicNow();
    auto &entry = m_tables.at(table);
    if (change.isFullRead) {
        entry.cache.replace(change.rows, change.version, change.afterOutage, now);
    } else {
        auto rows = change.rows;
        for (auto &row : rows) {
            row.doubtful = row.doubtful || (row.removed && change.afterOutage);
        }
        if (!entry.cache.apply(rows, change.version, now)) {
            return;
        }
    }
    answerWaiting(table);
}

void TableServer::answerWaiting(const std::string &table)
{
    std::list<Waiting> ready;
    for (auto item = m_waiting.begin(); item != m_waiting.end();) {
        const auto next = std::next(item);
        if (item->query.table == table) {
            ready.splice(ready.end(), m_waiting, item);
        }
        item = next;
    }
    for (const auto &item : ready) {
        answerNow(item.query, item.reply);
    }
}

void TableServer::handleQuery(const TableQuery &query, Reply reply)
{
    const auto found = m_tables.find(query.table);
    if (found == m_tables.end()) {
        reply({http::status::notFound, {}});
        return;
    }
    if (query.wait.count() <= 0 || !shouldWait(found->second, query)) {
        answerNow(query, reply);
        return;
    }
    m_waiting.push_back({query, std::move(reply), nullptr});
    const auto item = std::prev(m_waiting.end());
    item->timer = std::make_unique<net::Timer>(m_base, [this, item] {
        std::list<Waiting> due;
        due.splice(due.end(), m_waiting, item);
        answerNow(due.front().query, due.front().reply);
        // The timer must not be destroyed inside its own callback.
        net::deleteLater(m_base, std::move(due.front().timer));
    });
    item->timer->startOnce(std::min(query.wait, maxWait));
}

void TableServer::answerForEvidence()
{
    // One query tells the asking node; those for the other tables go on.
    answerWaiting(ownTable);
}

bool TableServer::shouldWait(const Table &table, const TableQuery &query) const
{
    if (query.table == ownTable && query.evidenceVersion && *query.evidenceVersion != m_evidenceVersion()) {
        return false;
    }
    // Right after the start of this node the query waits too: an error would send every querying node to the store.
    if (!table.cache.filled() || !table.watch->confirmedAt()) {
        return true;
    }
    const auto changes = query.after ? table.cache.changesAfter(*query.after) : std::nullopt;
    return changes && changes->empty();
}

void TableServer::answerNow(const TableQuery &query, const Reply &reply) const
{
    const auto &table = m_tables.at(query.table);
    const auto confirmed = table.watch->confirmedAt();
    if (!table.cache.filled() || !confirmed) {
        reply({http::status::unavailable, {}});
        return;
    }
    const auto rows = query.after ? table.cache.changesAfter(*query.after) : std::optional(table.cache.all());
    if (!rows) {
        reply({http::status::gone, {}});
        return;
    }
    RowBatch batch;
    batch.rows = *rows;
    // The watch's version may be newer than the cache's, as it also advances with changes to other tables.
    batch.version = table.watch->version();
    batch.storeNowMs = table.watch->storeNowMs();
    batch.evidenceVersion = m_evidenceVersion();
    batch.age = std::chrono::duration_cast<std::chrono::milliseconds>(base::monotonicNow() - *confirmed);
    reply({200, encodeRowBatch(batch)});
}

} // namespace ibisfork::gateway
