#include "gateway/storeclient.h"

#include <algorithm>

#include <ibisfork/base/log.h>

#include "net/deletelater.h"
#include "platform/codecerror.h"
#include "platform/rowcodec.h"

namespace ibisfork::gateway {

namespace {

constexpr int statusNone = 0;
constexpr int statusOk = 200;
constexpr int statusHistoryGone = 410;
constexpr int statusConditionFailed = 412;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
/// An answer takes some milliseconds; a store that is slow for a while takes some hundred.
constexpr std::chrono::milliseconds answerTimeout{1200};
constexpr std::size_t maxIdleConnections = 4;

ReadResult decodeRead(int status, const std::string &body)
{
    if (status == statusHistoryGone) {
        return StoreFailure::HistoryGone;
    }
    if (status == statusNone) {
        return StoreFailure::NoAnswer;
    }
    if (status != statusOk) {
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
    case statusOk:
        return WriteOutcome::Done;
    case statusConditionFailed:
        return WriteOutcome::ConditionFailed;
    case statusNone:
        return WriteOutcome::Unknown;
    case statusTooMany:
    case statusUnavailable:
    default:
        return WriteOutcome::NotDone;
    }
}

} // namespace

/// One request to the store and the wait for its answer.
class StoreClient::Call
{
public:
    Call(StoreClient &client, std::unique_ptr<http::UpstreamConnection> connection, Answered answered)
        : m_client(client)
        , m_connection(std::move(connection))
        , m_answered(std::move(answered))
        , m_timeout(client.m_base, [this] { end(statusNone); })
    { }

    void start(std::string bytes, base::Duration timeout)
    {
        m_timeout.startOnce(timeout);
        http::UpstreamConnection::Handlers handlers;
        handlers.onHead = [this](const http::ResponseHead &head) {
            m_status = head.status;
        };
        handlers.onBody = [this](std::string_view bytes) {
            m_body.append(bytes);
        };
        handlers.onComplete = [this] {
            end(m_status);
        };
        handlers.onFailure = [this](http::ConnectionFailure) {
            end(statusNone);
        };
        m_connection->send(std::move(bytes), false, std::move(handlers));
    }

    std::unique_ptr<http::UpstreamConnection> takeConnection() { return std::move(m_connection); }

private:
    void end(int status)
    {
        m_timeout.stop();
        if (status == statusNone) {
            m_connection->abandon();
            m_client.m_failures.add();
        }
        const auto answered = std::move(m_answered);
        const auto body = std::move(m_body);
        // This call is gone after the next line.
        m_client.finished(this);
        answered(status, body);
    }

    StoreClient &m_client;
    std::unique_ptr<http::UpstreamConnection> m_connection;
    Answered m_answered;
    net::Timer m_timeout;
    int m_status = statusNone;
    std::string m_body;
};

StoreClient::StoreClient(event_base *base, net::Address address, base::MetricsRegistry &metrics)
    : m_base(base)
    , m_address(std::move(address))
    , m_calls(metrics.counter("ibisfork_store_calls_total"))
    , m_failures(metrics.counter("ibisfork_store_calls_unanswered_total"))
{ }

StoreClient::~StoreClient() = default;

std::unique_ptr<http::UpstreamConnection> StoreClient::takeConnection()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->reusable()) {
            return connection;
        }
    }
    return std::make_unique<http::UpstreamConnection>(m_base, m_address);
}

void StoreClient::send(std::string bytes, base::Duration timeout, Answered answered)
{
    m_calls.add();
    auto call = std::make_unique<Call>(*this, takeConnection(), std::move(answered));
    auto *started = call.get();
    m_callsInFlight.push_back(std::move(call));
    started->start(std::move(bytes), timeout);
}

void StoreClient::finished(Call *call)
{
    const auto found = std::find_if(m_callsInFlight.begin(), m_callsInFlight.end(), [&](const auto &item) {
        return item.get() == call;
    });
    auto owned = std::move(*found);
    m_callsInFlight.erase(found);
    auto connection = owned->takeConnection();
    if (connection->reusable() && m_idle.size() < maxIdleConnections) {
        m_idle.push_back(std::move(connection));
    } else {
        net::deleteLater(m_base, std::move(connection));
    }
    net::deleteLater(m_base, std::move(owned));
}

void StoreClient::read(const std::string &table, const std::string &from, std::function<void(const ReadResult &)> done)
{
    const auto head = platform::encodeRead(table, from, m_address.text());
    send(http::serializeRequest(head, {}), answerTimeout, [done](int status, const std::string &body) {
        done(decodeRead(status, body));
    });
}

void StoreClient::feed(const std::string &table,
                       std::uint64_t version,
                       std::chrono::milliseconds wait,
                       std::function<void(const ReadResult &)> done)
{
    const auto head = platform::encodeFeed(table, version, wait, m_address.text());
    send(http::serializeRequest(head, {}), wait + answerTimeout, [done](int status, const std::string &body) {
        done(decodeRead(status, body));
    });
}

void StoreClient::write(const std::vector<ConditionalWrite> &writes, std::function<void(const WriteResult &)> done)
{
    const auto head = platform::encodeTransactionHead(m_address.text());
    const auto bytes = http::serializeRequest(head, platform::encodeTransaction(writes));
    send(bytes, answerTimeout, [done](int status, const std::string &body) {
        const auto outcome = decodeWrite(status);
        const auto answer = outcome == WriteOutcome::Done ? decodeRead(status, body) : ReadResult(StoreFailure::Refused);
        const auto *batch = std::get_if<RowBatch>(&answer);
        done({outcome, batch == nullptr ? 0 : batch->version});
    });
}

} // namespace ibisfork::gateway
