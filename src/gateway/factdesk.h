#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "gateway/factcache.h"
#include "gateway/factmessage.h"
#include "gateway/tablewatch.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Answers other nodes' questions for tables from what this node has read.
class FactDesk
{
public:
    struct Answer
    {
        int status = 200;
        std::string body;
    };

    using Reply = std::function<void(const Answer &)>;

    explicit FactDesk(event_base *base);

    /// Adds a table that can be asked for. The watch must outlive the desk. Rows for which @p saysNothingNew holds are
    /// not passed on as changes.
    void add(const std::string &table, const TableWatch &watch, FactCache::SaysNothingNew saysNothingNew = {});
    /// Takes what the watch of @p table has read.
    void take(const std::string &table, const TableChange &change);
    /// Answers at once, or when something changes or the question's wait is over.
    void ask(const FactQuestion &question, Reply reply);

private:
    struct Table
    {
        const TableWatch *watch = nullptr;
        FactCache cache;
    };

    struct Waiting
    {
        FactQuestion question;
        Reply reply;
        std::unique_ptr<net::Timer> timer;
    };

    static bool wantsToWait(const Table &table, const FactQuestion &question);
    void answerNow(const FactQuestion &question, const Reply &reply) const;
    void wake(const std::string &table);

    event_base *m_base;
    std::map<std::string, Table> m_tables;
    std::list<Waiting> m_waiting;
};

} // namespace ibisfork::gateway
