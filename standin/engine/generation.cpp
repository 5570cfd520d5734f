#include "generation.h"

#include <fmt/format.h>

namespace ibisfork::standin {

namespace {

constexpr int statusOk = 200;

} // namespace

Generation::Generation(event_base *base,
                       std::string id,
                       std::string incarnation,
                       unsigned tokens,
                       std::function<void()> ended)
    : m_id(std::move(id))
    , m_incarnation(std::move(incarnation))
    , m_tokens(tokens)
    , m_ended(std::move(ended))
    , m_timer(base, [this] { makeToken(); })
{ }

void Generation::start(base::Duration first, base::Duration between)
{
    m_between = between;
    m_timer.startOnce(first);
}

void Generation::attach(std::shared_ptr<net::HttpReply> reply, unsigned offset)
{
    m_reply = std::move(reply);
    net::HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("X-Incarnation", m_incarnation);
    headers.add("X-Stream-Id", m_id);
    m_reply->start(statusOk, headers);
    for (unsigned index = offset; index < m_made; ++index) {
        sendToken(index);
    }
    if (ended()) {
        sendEnd();
    }
}

void Generation::makeToken()
{
    const unsigned index = m_made++;
    sendToken(index);
    if (!ended()) {
        m_timer.startOnce(m_between);
        return;
    }
    sendEnd();
    m_ended();
}

void Generation::sendToken(unsigned index)
{
    if (m_reply) {
        m_reply->chunk(fmt::format(
            "id: {}\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{} \"}}}}]}}\n\n", index, index));
    }
}

void Generation::sendEnd()
{
    if (m_reply) {
        const auto confidence = m_confidence ? fmt::format(",\"confidence\":{}", *m_confidence) : std::string();
        m_reply->chunk(
            fmt::format("event: end\ndata: {{\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{}}}{}}}\n\n",
                        m_tokens,
                        confidence));
        m_reply->end();
        m_reply.reset();
    }
}

} // namespace ibisfork::standin
