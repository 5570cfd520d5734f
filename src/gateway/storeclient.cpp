#include "gateway/storeclient.h"

#include <algorithm>

#include <ibisfork/base/log.h>

#include "gateway/eventlog.h"
#include "http/status.h"
#include "platform/codecerror.h"
#include "platform/rowcodec.h"

namespace ibisfork::gateway {

namespace {

/// The era rises by one each time; a node that was cut off misses a few.
constexpr std::uint32_t maxEraStep = 1000;
constexpr int statusNone = http::CallClient::noAnswer;
/// The store usually answers within some milliseconds, when slow within some hundred.
constexpr std::chrono::milliseconds answerTimeout{1200};

WriteOutcome decodeWrite(int status)
{
    switch (status) {
    case http::status::ok:
        return WriteOutcome::Done;
    case http::status::conditionFailed:
        return WriteOutcome::ConditionFailed;
    case statusNone:
        return WriteOutcome::Unknown;
    default:
        return WriteOutcome::NotDone;
    }
}

/// All causes, so that those without a call yet are listed too.
std::map<StoreCallCause, base::Counter *> countersByCause(base::MetricsRegistry &metrics)
{
    std::map<StoreCallCause, base::Counter *> counters;
    for (const auto &cause : storeCallCauseNames) {
        counters[cause.value] = &metrics.counter("ibisfork_store_calls_total", {{"cause", std::string(cause.name)}});
    }
    return counters;
}

} // namespace

StoreClient::StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics)
    : m_client(base)
    , m_address(std::move(address))
    , m_calls(countersByCause(metrics))
    , m_failures(metrics.counter("ibisfork_store_calls_unanswered_total"))
    , m_eraGauge(metrics.gauge("ibisfork_store_era"))
{ }

ReadResult StoreClient::decodeRead(const http::CallAnswer &answer) const
{
    const auto status = answer.head.status;
    const auto era = std::min(platform::decodeStoreEra(answer.head.headers).value_or(m_era), m_era);
    if (status == http::status::gone) {
        return StoreFailure::HistoryGone;
    }
    if (status == statusNone) {
        return StoreFailure::NoAnswer;
    }
    if (status != http::status::ok || era != m_era) {
        return StoreFailure::Refused;
    }
    try {
        return platform::decodeRows(answer.body, era);
    } catch (const platform::CodecError &error) {
        base::LogLine(base::LogLevel::Warning, "store_answer_unreadable").field("reason", error.what());
        return StoreFailure::Unreadable;
    }
}

void StoreClient::recordEra(const http::HeaderList &headers)
{
    const auto era = platform::decodeStoreEra(headers);
    if (!era || *era <= m_era) {
        // A lower one is of an answer that was on its way when the store came back.
        return;
    }
    if (m_era != 0 && *era - m_era > maxEraStep) {
        EventLog::state("store_era_unreadable").field("era", *era).field("known", m_era);
        return;
    }
    EventLog::state("store_era").field("era", *era).field("before", m_era);
    m_era = *era;
    m_eraGauge.set(m_era);
}

void StoreClient::send(StoreCallCause cause,
                       std::string bytes,
                       base::Duration timeout,
                       const http::CallClient::Answered &answered)
{
    m_calls.at(cause)->add();
    m_client.send(m_address, std::move(bytes), timeout, [this, answered](const http::CallAnswer &answer) {
        if (answer.head.status == http::CallClient::noAnswer) {
            m_failures.add();
        }
        recordEra(answer.head.headers);
        answered(answer);
    });
}

void StoreClient::read(const std::string &table,
                       const std::string &from,
                       const std::function<void(const ReadResult &)> &done)
{
    const auto head = platform::encodeRead(table, from, m_address.text());
    send(StoreCallCause::TableRead,
         http::serializeRequest(head, {}),
         answerTimeout,
         [this, done](const http::CallAnswer &answer) { done(decodeRead(answer)); });
}

void StoreClient::feed(const std::string &table,
                       RowVersion version,
                       std::chrono::milliseconds wait,
                       const std::function<void(const ReadResult &)> &done)
{
    const auto head = platform::encodeFeed(table, version.number(), wait, m_address.text());
    send(StoreCallCause::TableFeed,
         http::serializeRequest(head, {}),
         wait + answerTimeout,
         [this, done](const http::CallAnswer &answer) {
             // A full read comes in pages, however much has changed.
             done(answer.isTooLong ? ReadResult(StoreFailure::HistoryGone) : decodeRead(answer));
         });
}

void StoreClient::write(StoreCallCause cause,
                        const std::vector<ConditionalWrite> &writes,
                        const std::function<void(const WriteResult &)> &done)
{
    const auto isOutdated = [this](const ConditionalWrite &write) {
        return write.expectedVersion.value_or(RowVersion()).number() != 0 && write.expectedVersion->era() < m_era;
    };
    if (std::any_of(writes.begin(), writes.end(), isOutdated)) {
        // The number may mean another row by now.
        done({WriteOutcome::NotDone, {}});
        return;
    }
    const auto head = platform::encodeTransactionHead(m_address.text());
    const auto bytes = http::serializeRequest(head, platform::encodeTransaction(writes));
    send(cause, bytes, answerTimeout, [this, done](const http::CallAnswer &answer) {
        const auto outcome = decodeWrite(answer.head.status);
        const auto result = outcome == WriteOutcome::Done ? decodeRead(answer) : ReadResult(StoreFailure::Refused);
        const auto *batch = std::get_if<RowBatch>(&result);
        done({outcome, batch == nullptr ? RowVersion() : batch->version});
    });
}

} // namespace ibisfork::gateway
