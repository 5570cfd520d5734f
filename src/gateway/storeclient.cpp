#include "gateway/storeclient.h"

#include <ibisfork/base/log.h>

#include "http/status.h"
#include "platform/codecerror.h"
#include "platform/rowcodec.h"

namespace ibisfork::gateway {

namespace {

constexpr int statusNone = http::CallClient::noAnswer;
/// The store usually answers within some milliseconds, when slow within some hundred.
constexpr std::chrono::milliseconds answerTimeout{1200};

ReadResult decodeRead(int status, const std::string &body)
{
    if (status == http::status::gone) {
        return StoreFailure::HistoryGone;
    }
    if (status == statusNone) {
        return StoreFailure::NoAnswer;
    }
    if (status != http::status::ok) {
        return StoreFailure::Refused;
    }
    try {
        return platform::decodeRows(body);
    } catch (const platform::CodecError &error) {
        base::LogLine(base::LogLevel::Warning, "store_answer_unreadable").field("reason", error.what());
        return StoreFailure::Unreadable;
    }
}

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

} // namespace

StoreClient::StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics)
    : m_client(base)
    , m_address(std::move(address))
    , m_calls(metrics.counter("ibisfork_store_calls_total"))
    , m_failures(metrics.counter("ibisfork_store_calls_unanswered_total"))
{ }

void StoreClient::send(std::string bytes, base::Duration timeout, const http::CallClient::Answered &answered)
{
    m_calls.add();
    m_client.send(m_address, std::move(bytes), timeout, [this, answered](int status, const std::string &body) {
        if (status == http::CallClient::noAnswer) {
            m_failures.add();
        }
        answered(status, body);
    });
}

void StoreClient::read(const std::string &table,
                       const std::string &from,
                       const std::function<void(const ReadResult &)> &done)
{
    const auto head = platform::encodeRead(table, from, m_address.text());
    send(http::serializeRequest(head, {}), answerTimeout, [done](int status, const std::string &body) {
        done(decodeRead(status, body));
    });
}

void StoreClient::feed(const std::string &table,
                       std::uint64_t version,
                       std::chrono::milliseconds wait,
                       const std::function<void(const ReadResult &)> &done)
{
    const auto head = platform::encodeFeed(table, version, wait, m_address.text());
    send(http::serializeRequest(head, {}), wait + answerTimeout, [done](int status, const std::string &body) {
        done(decodeRead(status, body));
    });
}

void StoreClient::write(const std::vector<ConditionalWrite> &writes,
                        const std::function<void(const WriteResult &)> &done)
{
    const auto head = platform::encodeTransactionHead(m_address.text());
    const auto bytes = http::serializeRequest(head, platform::encodeTransaction(writes));
    send(bytes, answerTimeout, [done](int status, const std::string &body) {
        const auto outcome = decodeWrite(status);
        const auto answer
            = outcome == WriteOutcome::Done ? decodeRead(status, body) : ReadResult(StoreFailure::Refused);
        const auto *batch = std::get_if<RowBatch>(&answer);
        done({outcome, batch == nullptr ? 0 : batch->version});
    });
}

} // namespace ibisfork::gateway
