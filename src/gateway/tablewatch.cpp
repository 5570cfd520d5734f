#include "gateway/tablewatch.h"

#include <algorithm>
#include <array>
#include <utility>

#include <ibisfork/base/names.h>

#include "gateway/eventlog.h"

namespace ibisfork::gateway {

namespace {

constexpr std::array<base::Name<StoreFailure>, 4> failureNames{{
    {StoreFailure::HistoryGone, "history_gone"},
    {StoreFailure::Refused, "refused"},
    {StoreFailure::NoAnswer, "no_answer"},
    {StoreFailure::Unreadable, "unreadable"},
}};

/// Pause after a failed call; it doubles up to the longest, so that a store that comes back is not flooded.
constexpr std::chrono::milliseconds firstRetryDelay{150};
constexpr std::chrono::milliseconds longestRetryDelay{600};

std::int64_t nowMs()
{
    return base::toMilliseconds(base::monotonicNow().time_since_epoch());
}

} // namespace

TableWatch::TableWatch(event_base *base, StoreClient &client, std::string table, WatchTiming timing, Changed changed)
    : m_client(client)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_changed(std::move(changed))
    , m_timer(base, [this] {
        if (m_needAll) {
            m_gathered = {};
            m_gatherVersion = 0;
            askAll({});
        } else {
            askChanges();
        }
    })
{ }

void TableWatch::start()
{
    next(base::Duration::zero());
}

void TableWatch::next(base::Duration delay)
{
    m_timer.startOnce(delay);
}

void TableWatch::askAll(const std::string &from)
{
    m_client.read(m_table, from, [this](const ReadResult &result) { takeAll(result); });
}

void TableWatch::takeAll(const ReadResult &result)
{
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        noteFailure(*failure);
        return;
    }
    const auto &batch = std::get<RowBatch>(result);
    noteAnswer(batch);
    // Later pages may be newer than the first; the feed then brings some changes twice, which does no harm.
    m_gatherVersion = m_gatherVersion == 0 ? batch.version : std::min(m_gatherVersion, batch.version);
    for (const auto &row : batch.rows) {
        if (m_gathered.rows.empty() || m_gathered.rows.back().key != row.key) {
            m_gathered.rows.push_back(row);
        }
    }
    if (batch.more && !batch.rows.empty()) {
        askAll(batch.rows.back().key);
        return;
    }
    m_version = m_gatherVersion;
    m_needAll = false;
    m_loaded = true;
    m_gathered.whole = true;
    m_gathered.afterOutage = std::exchange(m_afterOutage, false);
    m_changed(m_gathered);
    m_gathered = {};
    next(m_timing.gap);
}

void TableWatch::askChanges()
{
    m_client.feed(m_table, m_version, m_timing.wait, [this](const ReadResult &result) { takeChanges(result); });
}

void TableWatch::takeChanges(const ReadResult &result)
{
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        m_needAll = m_needAll || *failure == StoreFailure::HistoryGone;
        noteFailure(*failure);
        return;
    }
    const auto &batch = std::get<RowBatch>(result);
    noteAnswer(batch);
    m_version = std::max(m_version, batch.version);
    const bool afterOutage = std::exchange(m_afterOutage, false);
    if (!batch.rows.empty()) {
        m_changed({batch.rows, false, afterOutage});
    }
    next(batch.rows.empty() ? base::Duration::zero() : m_timing.gap);
}

std::int64_t TableWatch::storeNowMs() const
{
    return nowMs() + m_clockOffsetMs;
}

void TableWatch::noteAnswer(const RowBatch &batch)
{
    m_lastAnswer = base::monotonicNow();
    m_clockOffsetMs = batch.storeNowMs - nowMs();
    m_failures = 0;
    if (m_away) {
        m_away = false;
        m_afterOutage = true;
        EventLog::state("store_regained").field("table", m_table).field("version", batch.version);
    }
}

void TableWatch::noteFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryGone) {
        EventLog::state("store_history_gone").field("table", m_table).field("version", m_version);
        next(base::Duration::zero());
        return;
    }
    if (!m_away) {
        m_away = true;
        EventLog::state("store_lost")
            .field("table", m_table)
            .field("version", m_version)
            .field("reason", base::nameOf(failureNames, failure));
    }
    const auto delay = firstRetryDelay * (1 << std::min(m_failures, 2U));
    ++m_failures;
    next(std::min<base::Duration>(delay, longestRetryDelay));
}

} // namespace ibisfork::gateway
