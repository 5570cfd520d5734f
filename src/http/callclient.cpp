#include "http/callclient.h"

#include <algorithm>

#include <ibisfork/base/log.h>

#include "http/latebytes.h"
#include "net/deletelater.h"
#include "net/timer.h"

namespace ibisfork::http {

namespace {

constexpr std::size_t maxIdleConnections = 4;

/// Closes the idle connections that their other ends have closed; some of their addresses may never be called again.
template<typename IdleConnections>
void dropEnded(IdleConnections &idle)
{
    for (auto &item : idle) {
        std::erase_if(item.second, [](const auto &connection) { return !connection->reusable(); });
    }
    std::erase_if(idle, [](const auto &item) { return item.second.empty(); });
}

} // namespace

/// One request and the wait for its answer.
class CallClient::Call
{
public:
    Call(CallClient &client, net::Address address, Answered answered)
        : m_client(client)
        , m_address(std::move(address))
        , m_connection(client.takeConnection(m_address))
        , m_answered(std::move(answered))
        , m_timeout(client.m_base, [this] { onTimeout(); })
    { }

    void start(std::string bytes, base::Duration timeout)
    {
        m_timeout.startOnce(timeout);
        UpstreamConnection::Handlers handlers;
        handlers.onHead = [this](const ResponseHead &head) {
            m_answer.head = head;
            if (contentLength(head.headers).value_or(0) > maxAnswerBytes) {
                endTooLong();
            }
        };
        handlers.onBody = [this](std::string_view part) {
            if (m_answer.body.size() + part.size() > maxAnswerBytes) {
                endTooLong();
            } else {
                m_answer.body.append(part);
            }
        };
        handlers.onComplete = [this] {
            end();
        };
        handlers.onFailure = [this](ConnectionFailure) {
            endUnanswered();
        };
        m_connection->send(std::move(bytes), false, std::move(handlers));
    }

    const net::Address &address() const { return m_address; }
    std::unique_ptr<UpstreamConnection> takeConnection() { return std::move(m_connection); }

private:
    void endTooLong()
    {
        base::LogLine(base::LogLevel::Warning, "answer_too_long")
            .field("address", m_address.text())
            .field("read", m_answer.body.size())
            .field("most", maxAnswerBytes);
        m_answer = {};
        m_answer.isTooLong = true;
        m_connection->abandon();
        end();
    }

    void onTimeout()
    {
        if (m_lateBytes.mayAwait(*m_connection, base::monotonicNow())) {
            m_timeout.startOnce(LateBytes::checkInterval);
        } else {
            endUnanswered();
        }
    }

    void endUnanswered()
    {
        m_answer = {};
        m_connection->abandon();
        end();
    }

    void end()
    {
        m_timeout.stop();
        const auto answered = std::move(m_answered);
        const auto answer = std::move(m_answer);
        // Nothing of this call is used behind the next line.
        m_client.finished(this);
        answered(answer);
    }

    CallClient &m_client;
    net::Address m_address;
    std::unique_ptr<UpstreamConnection> m_connection;
    Answered m_answered;
    net::Timer m_timeout;
    LateBytes m_lateBytes;
    CallAnswer m_answer;
};

CallClient::CallClient(event_base *base)
    : m_base(base)
{ }

CallClient::~CallClient() = default;

std::unique_ptr<UpstreamConnection> CallClient::takeConnection(const net::Address &address)
{
    auto &idle = m_idle[address.text()];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->reusable() && !connection->hasUnread()) {
            return connection;
        }
    }
    return std::make_unique<UpstreamConnection>(m_base, address);
}

void CallClient::send(const net::Address &address, std::string bytes, base::Duration timeout, Answered answered)
{
    m_calls.push_back(std::make_unique<Call>(*this, address, std::move(answered)));
    m_calls.back()->start(std::move(bytes), timeout);
}

void CallClient::finished(Call *call)
{
    const auto found
        = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto &item) { return item.get() == call; });
    auto owned = std::move(*found);
    m_calls.erase(found);
    auto connection = owned->takeConnection();
    dropEnded(m_idle);
    auto &idle = m_idle[owned->address().text()];
    if (connection->reusable() && idle.size() < maxIdleConnections) {
        idle.push_back(std::move(connection));
    } else {
        net::deleteLater(m_base, std::move(connection));
    }
    net::deleteLater(m_base, std::move(owned));
}

} // namespace ibisfork::http
