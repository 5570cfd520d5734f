#include "ledger/billdesk.h"

#include <random>

#include <fmt/format.h>

#include <ibisfork/base/log.h>

namespace ibisfork::ledger {

namespace {

constexpr std::size_t maxBatch = 500;
constexpr std::chrono::milliseconds retryDelay{500};

std::string newIncarnation()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}", random(), random(), random());
}

} // namespace

BillDesk::BillDesk(event_base *base,
                   platform::TableClient &table,
                   const BillDeskSettings &settings,
                   base::MetricsRegistry &metrics)
    : m_settings(settings)
    , m_store(table)
    , m_recorded(metrics.counter("ibisfork_bills_total"))
    , m_appends(metrics.counter("ibisfork_bill_appends_total"))
    , m_handedOver(metrics.counter("ibisfork_bill_logs_closed_by_others_total"))
    , m_pending(metrics.gauge("ibisfork_bills_pending"))
    , m_log(newIncarnation(), settings.maxPending)
    , m_timer(base, [this] { flush(); })
    , m_holdTimer(base, [this] { onHeldTooLong(); })
{ }

std::uint64_t BillDesk::record(const Bill &bill)
{
    const auto ticket = m_nextTicket++;
    if (m_settings.maxPending == 0) {
        return ticket;
    }
    m_recorded.add();
    m_log.add(billText(bill), ticket);
    m_pending.set(static_cast<std::int64_t>(m_log.size()));
    const auto earliest = m_lastFlush + m_settings.window;
    schedule(std::max(base::Duration::zero(), earliest - base::monotonicNow()));
    return ticket;
}

void BillDesk::whenSafe(std::uint64_t ticket, std::function<void()> safe)
{
    // Service goes on while the table is out of reach; the bound on what waits here is the limit.
    if (m_outage || m_settings.maxPending == 0) {
        safe();
        return;
    }
    m_waiting[ticket] = std::move(safe);
}

void BillDesk::schedule(base::Duration delay)
{
    if (!m_flushing && !m_scheduled) {
        m_scheduled = true;
        m_timer.startOnce(delay);
    }
}

void BillDesk::flush()
{
    m_scheduled = false;
    const auto batch = m_log.batch(maxBatch);
    if (!batch) {
        return;
    }
    m_flushing = true;
    m_lastFlush = base::monotonicNow();
    m_appends.add();
    m_holdTimer.startOnce(m_settings.hold);
    m_store.append(*batch, [this](const platform::AppendResult &result) { onAppended(result); });
}

void BillDesk::onHeldTooLong()
{
    // The append may still end well; a table that is silent must not hold back what is ready.
    base::LogLine(base::LogLevel::Warning, "bills-held-too-long").field("pending", m_log.size());
    m_outage = true;
    releaseAll();
}

void BillDesk::onAppended(const platform::AppendResult &result)
{
    m_holdTimer.stop();
    m_flushing = false;
    m_outage = result.state == platform::AppendState::Unavailable;
    switch (result.state) {
    case platform::AppendState::Appended:
        release(m_log.appended());
        break;
    case platform::AppendState::Closed:
        m_handedOver.add();
        base::LogLine(base::LogLevel::Warning, "bill-log-closed-by-other").field("incarnation", m_log.incarnation());
        release(m_log.closedAt(result.closedAt, newIncarnation()));
        break;
    case platform::AppendState::Unavailable:
        base::LogLine(base::LogLevel::Warning, "bills-wait").field("pending", m_log.size());
        releaseAll();
        break;
    }
    settled();
}

void BillDesk::settled()
{
    m_pending.set(static_cast<std::int64_t>(m_log.size()));
    if (m_log.size() > 0) {
        schedule(m_outage ? base::Duration(retryDelay) : m_settings.window);
    } else if (m_onEmpty) {
        m_onEmpty();
    }
}

void BillDesk::release(const std::vector<std::uint64_t> &tickets)
{
    for (const auto ticket : tickets) {
        auto waiting = m_waiting.extract(ticket);
        if (waiting) {
            waiting.mapped()();
        }
    }
}

void BillDesk::releaseAll()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[ticket, safe] : waiting) {
        safe();
    }
}

} // namespace ibisfork::ledger
