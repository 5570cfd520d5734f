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

/// Delay after a failed store call. It doubles up to a maximum, so that a store that recovers is not overloaded.
constexpr std::chrono::milliseconds firstRetryDelay{150};
constexpr std::chrono::milliseconds maxRetryDelay{600};
/// Answers that can't be read may be as long as a table, and the store isn't about to recover by itself.
constexpr std::chrono::milliseconds maxUnreadableRetryDelay{2400};
/// Delay before the next source is queried after another node failed, or before a full read.
constexpr std::chrono::milliseconds sourceChangeDelay{5};
/// Pause after an answer without changes that came before the end of its wait: a store that doesn't hold queries would
/// be queried in a loop.
constexpr std::chrono::milliseconds earlyAnswerPause{150};

base::Duration retryDelay(StoreFailure failure, unsigned earlierFailures)
{
    constexpr unsigned maxDoublings = 10;
    const auto longest = failure == StoreFailure::Unreadable ? maxUnreadableRetryDelay : maxRetryDelay;
    return std::min(firstRetryDelay * (1 << std::min(earlierFailures, maxDoublings)), longest);
}

std::int64_t nowMs()
{
    return base::toMilliseconds(base::monotonicNow().time_since_epoch());
}

} // namespace

TableWatch::TableWatch(event_base *base, TableSource &source, std::string table, WatchTiming timing, Changed changed)
    : m_source(source)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_changed(std::move(changed))
    , m_timer(base, [this] {
        if (m_needsFullRead || m_source.era() > m_version.era()) {
            beginFullRead();
        } else {
            requestChanges();
        }
    })
{ }

void TableWatch::start()
{
    scheduleQuery(base::Duration::zero());
}

void TableWatch::scheduleQuery(base::Duration delay)
{
    m_timer.startOnce(delay);
}

void TableWatch::beginFullRead()
{
    m_fullRead = {};
    m_fullReadVersion = {};
    requestAllRows({});
}

bool TableWatch::isOfOtherEra(const RowBatch &batch) const
{
    return m_fullReadVersion != RowVersion() && batch.version.era() != m_fullReadVersion.era();
}

void TableWatch::requestAllRows(const std::string &from)
{
    m_source.read(m_table, from, m_timing.maxAge, [this](const ReadResult &result, bool fromStore) {
        handleAllRows(result, fromStore);
    });
}

void TableWatch::handleAllRows(const ReadResult &result, bool fromStore)
{
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        handleFailure(*failure, fromStore);
        return;
    }
    const auto &batch = std::get<RowBatch>(result);
    if (batch.version < m_version) {
        // The source is behind this node; known rows are never replaced by older ones.
        EventLog::state("facts_behind")
            .field("table", m_table)
            .field("version", batch.version.text())
            .field("known", m_version.text());
        scheduleQuery(maxRetryDelay);
        return;
    }
    if (isOfOtherEra(batch)) {
        scheduleQuery(sourceChangeDelay);
        return;
    }
    recordAnswer(batch);
    // Later pages may be newer than the first. The feed continues from the oldest page, so some changes may arrive
    // twice; applying them again is harmless.
    m_fullReadVersion = m_fullReadVersion == RowVersion() ? batch.version : std::min(m_fullReadVersion, batch.version);
    for (const auto &row : batch.rows) {
        if (m_fullRead.rows.empty() || m_fullRead.rows.back().key != row.key) {
            m_fullRead.rows.push_back(row);
        }
    }
    if (batch.hasMore && !batch.rows.empty()) {
        requestAllRows(batch.rows.back().key);
        return;
    }
    m_fullRead.isFullRead = true;
    m_fullRead.isNewEra = m_loaded && m_fullReadVersion.era() != m_version.era();
    m_fullRead.afterOutage = std::exchange(m_afterOutage, false) || m_fullRead.isNewEra;
    m_version = m_fullReadVersion;
    m_fullRead.version = m_version;
    m_needsFullRead = false;
    m_loaded = true;
    if (m_fullRead.isNewEra) {
        EventLog::state("store_came_back_older").field("table", m_table).field("version", m_version.text());
    }
    m_changed(m_fullRead);
    m_fullRead = {};
    scheduleQuery(fromStore ? m_timing.gap : base::Duration::zero());
}

void TableWatch::requestChanges()
{
    m_queriedAt = base::monotonicNow();
    m_source.feed(m_table, m_version, m_timing.wait, m_timing.maxAge, [this](const ReadResult &result, bool fromStore) {
        handleChanges(result, fromStore);
    });
}

void TableWatch::handleChanges(const ReadResult &result, bool fromStore)
{
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        m_needsFullRead = m_needsFullRead || *failure == StoreFailure::HistoryGone;
        handleFailure(*failure, fromStore);
        return;
    }
    const auto &batch = std::get<RowBatch>(result);
    if (batch.version.era() != m_version.era()) {
        // Numbers of another era say nothing about what was missed.
        m_needsFullRead = true;
        scheduleQuery(sourceChangeDelay);
        return;
    }
    recordAnswer(batch);
    m_version = std::max(m_version, batch.version);
    const bool afterOutage = std::exchange(m_afterOutage, false);
    if (!batch.rows.empty()) {
        m_changed({batch.rows, false, m_version, afterOutage});
    }
    scheduleQuery(pauseAfter(batch, fromStore));
}

base::Duration TableWatch::pauseAfter(const RowBatch &batch, bool fromStore) const
{
    if (!fromStore) {
        return base::Duration::zero();
    }
    if (!batch.rows.empty()) {
        return m_timing.gap;
    }
    const bool isEarly = base::monotonicNow() - m_queriedAt < m_timing.wait / 2;
    return isEarly ? base::Duration(earlyAnswerPause) : base::Duration::zero();
}

std::int64_t TableWatch::storeNowMs() const
{
    return nowMs() + m_clockOffsetMs;
}

void TableWatch::recordAnswer(const RowBatch &batch)
{
    const auto lastConfirmed = std::exchange(m_confirmedAt, base::monotonicNow() - batch.age);
    m_clockOffsetMs = batch.storeNowMs - nowMs();
    m_failures = 0;
    if (std::exchange(m_storeUnavailable, false)) {
        endOutage(batch, lastConfirmed);
    }
}

void TableWatch::endOutage(const RowBatch &batch, std::optional<base::TimePoint> lastConfirmed)
{
    // The store may have turned away this node alone, which then has learnt from other nodes what the store confirmed
    // to them, or may have been away too briefly for a row to lapse.
    const auto away = lastConfirmed ? *m_confirmedAt - *lastConfirmed : base::Duration::max();
    m_afterOutage = m_afterOutage || away > m_timing.renewalTime;
    EventLog::state("store_regained")
        .field("table", m_table)
        .field("version", batch.version.text())
        .field("away_ms", lastConfirmed ? base::toMilliseconds(away) : -1)
        .field("doubtful", m_afterOutage);
}

void TableWatch::handleFailure(StoreFailure failure, bool fromStore)
{
    if (failure == StoreFailure::HistoryGone) {
        EventLog::state("store_history_gone").field("table", m_table).field("version", m_version.text());
        scheduleQuery(sourceChangeDelay);
        return;
    }
    if (!fromStore) {
        // TableSource has put the failed node into backoff and picks another source.
        scheduleQuery(sourceChangeDelay);
        return;
    }
    if (!m_storeUnavailable) {
        m_storeUnavailable = true;
        EventLog::state("store_lost")
            .field("table", m_table)
            .field("version", m_version.text())
            .field("reason", base::nameOf(failureNames, failure));
    }
    scheduleQuery(retryDelay(failure, m_failures));
    ++m_failures;
}

} // namespace ibisfork::gateway
