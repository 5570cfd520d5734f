#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "gateway/tablecache.h"
#include "gateway/tablequery.h"
#include "gateway/tablewatch.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Answers other nodes' queries for tables from the rows that this node has read.
class TableServer
{
public:
    struct Answer
    {
        int status = 200;
        std::string body;
    };

    using Reply = std::function<void(const Answer &)>;

    /// @p evidenceVersion: version of this node's evidence.
    TableServer(event_base *base, std::function<std::uint64_t()> evidenceVersion);

    /// Adds a table to serve. @p watch must outlive this object. Rows for which @p isUnchanged holds are not passed
    /// on as changes.
    void add(const std::string &table, const TableWatch &watch, TableCache::IsUnchanged isUnchanged = {});
    /// Applies an update that the watch of @p table has received.
    void update(const std::string &table, const TableChange &change);
    /// Calls @p reply at once, or when the table changes or the query's wait has passed.
    void handleQuery(const TableQuery &query, Reply reply);
    /// Answers the queries that know another version of the evidence.
    void answerForEvidence();

private:
    struct Table
    {
        const TableWatch *watch = nullptr;
        TableCache cache;
    };

    struct Waiting
    {
        TableQuery query;
        Reply reply;
        std::unique_ptr<net::Timer> timer;
    };

    bool shouldWait(const Table &table, const TableQuery &query) const;
    void answerNow(const TableQuery &query, const Reply &reply) const;
    void answerWaiting(const std::string &table);

    event_base *m_base;
    std::function<std::uint64_t()> m_evidenceVersion;
    std::map<std::string, Table> m_tables;
    std::list<Waiting> m_waiting;
};

} // namespace ibisfork::gateway
