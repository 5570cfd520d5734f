#pragma once

#include <functional>
#include <map>

#include <ibisfork/base/metrics.h>

#include "ledger/bill.h"
#include "ledger/billlog.h"
#include "net/timer.h"
#include "platform/billstore.h"

namespace ibisfork::ledger {

struct BillDeskSettings
{
    /// Shortest time between two appends to the table.
    base::Duration window{};
    /// Longest time that an append holds answers back; after it the table counts as out of reach.
    base::Duration hold{};
    /// Records not yet in the table from which no new work may be taken; 0 turns bills off, for measurements only.
    std::size_t maxPending = 0;
};

/// Takes the bills of a node and brings them to the platform in groups. Lives on one event loop.
class BillDesk
{
public:
    BillDesk(event_base *base,
             platform::TableClient &table,
             const BillDeskSettings &settings,
             base::MetricsRegistry &metrics);

    /// Takes @p bill and gives the ticket by which it is asked for.
    std::uint64_t record(const Bill &bill);
    /// Calls @p safe once the answer's last byte may go, perhaps before this returns: the bill of @p ticket is in the
    /// table, or the table is out of reach and the bill waits here.
    void whenSafe(std::uint64_t ticket, std::function<void()> safe);
    /// The bill stays; the callback of its @p ticket is no longer called.
    void forget(std::uint64_t ticket) { m_waiting.erase(ticket); }

    /// Whether no new work may be taken, since its bills could not be kept.
    bool full() const { return m_settings.maxPending > 0 && m_log.full(); }
    /// Whether all bills are in the table.
    bool empty() const { return m_log.size() == 0; }
    /// Called each time that all bills are in the table.
    void onEmpty(std::function<void()> callback) { m_onEmpty = std::move(callback); }

private:
    void schedule(base::Duration delay);
    void flush();
    void onHeldTooLong();
    void onAppended(const platform::AppendResult &result);
    void release(const std::vector<std::uint64_t> &tickets);
    void releaseAll();
    void settled();

    BillDeskSettings m_settings;
    platform::BillStore m_store;
    base::Counter &m_recorded;
    base::Counter &m_appends;
    base::Counter &m_handedOver;
    base::Gauge &m_pending;
    BillLog m_log;
    std::map<std::uint64_t, std::function<void()>> m_waiting;
    std::function<void()> m_onEmpty;
    std::uint64_t m_nextTicket = 1;
    bool m_flushing = false;
    bool m_scheduled = false;
    bool m_outage = false;
    base::TimePoint m_lastFlush{};
    net::Timer m_timer;
    net::Timer m_holdTimer;
};

} // namespace ibisfork::ledger
