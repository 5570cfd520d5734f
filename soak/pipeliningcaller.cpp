#include "pipeliningcaller.h"

#include <fmt/format.h>

#include "http/status.h"
#include "soakengine.h"
#include "socketaddress.h"
#include "times.h"

namespace ibisfork::soak {

namespace {

using gateway::Repeatability;

constexpr std::chrono::milliseconds betweenSeries{60};
constexpr unsigned mostAtOnce = 4;
constexpr std::size_t maxHeadBytes = 65536;

} // namespace

PipeliningCaller::PipeliningCaller(event_base *base,
                                   Ledger &ledger,
                                   Balancer &balancer,
                                   std::uint64_t seed,
                                   std::string name)
    : m_base(base)
    , m_ledger(ledger)
    , m_balancer(balancer)
    , m_random(seed)
    , m_name(std::move(name))
    , m_parser(http::MessageKind::Response, maxHeadBytes, [this](std::string_view bytes) { m_body.append(bytes); })
    , m_pause(base, [this] { next(); })
    , m_patience(base, [this] { endAll(true); })
{ }

void PipeliningCaller::start()
{
    m_pause.startOnce(betweenSeries);
}

void PipeliningCaller::connect()
{
    const auto choice = m_balancer.choose();
    if (!choice) {
        return;
    }
    m_node = choice->node;
    const auto target = test::socketAddress(choice->address);
    m_connection.reset(bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(m_connection.get(), &onRead, nullptr, &onEvent, this);
    bufferevent_enable(m_connection.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(m_connection.get(), reinterpret_cast<const sockaddr *>(&target), sizeof target);
    m_parser.reset();
}

void PipeliningCaller::next()
{
    if (m_stopped) {
        return;
    }
    if (!m_connection) {
        connect();
    }
    if (!m_connection) {
        m_pause.startOnce(betweenSeries);
        return;
    }
    std::string bytes;
    for (auto left = 1 + m_random() % mostAtOnce; left > 0; --left) {
        bytes += newRequest();
    }
    m_patience.startOnce(patience * mostAtOnce);
    bufferevent_write(m_connection.get(), bytes.data(), bytes.size());
}

std::string PipeliningCaller::newRequest()
{
    const auto id = fmt::format("{}-{}", m_name, ++m_count);
    const bool once = m_random() % 2 == 0;
    m_waiting.push_back(id);
    auto &asked = m_ledger.asked(id);
    asked.kind = once ? Repeatability::AtMostOnce : Repeatability::Idempotent;
    asked.path = once ? "/book/" : "/read/";
    asked.key = m_balancer.key();
    asked.node = m_node;
    asked.sentAt = base::monotonicNow();
    return soakRequest(id, asked, "question " + id);
}

void PipeliningCaller::onRead(bufferevent *, void *self)
{
    static_cast<PipeliningCaller *>(self)->readMore();
}

void PipeliningCaller::onEvent(bufferevent *, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<PipeliningCaller *>(self)->endAll(false);
    }
}

void PipeliningCaller::readMore()
{
    auto *input = bufferevent_get_input(m_connection.get());
    while (m_connection && evbuffer_get_length(input) > 0) {
        const auto count = evbuffer_get_contiguous_space(input);
        std::string part(count, '\0');
        evbuffer_copyout(input, part.data(), count);
        evbuffer_drain(input, m_parser.feed(part));
        if (m_parser.state() == http::ParseState::Malformed || m_waiting.empty()) {
            m_ledger.broken(fmt::format("{} got bytes that are no answer of a request that waits", m_name));
            endAll(true);
        } else if (m_parser.state() == http::ParseState::Complete) {
            answered();
        }
    }
}

void PipeliningCaller::answered()
{
    const auto id = m_waiting.front();
    const auto &head = m_parser.response();
    const bool isOwn = head.headers.find("Ibisfork-Response-Seal") == "seal of " + id && m_body == plainBody(id);
    if (head.status == http::status::ok && !isOwn) {
        m_ledger.broken(fmt::format("{} got an answer that is not its own whole one: \"{}\"", id, m_body));
    }
    const bool keeps = m_parser.keepsAlive();
    end(head.status);
    m_body.clear();
    m_parser.reset();
    if (!keeps) {
        endAll(true);
    } else if (m_waiting.empty()) {
        m_patience.stop();
        m_pause.startOnce(betweenSeries);
    }
}

void PipeliningCaller::end(int status)
{
    auto &asked = m_ledger.asked(m_waiting.front());
    asked.status = status;
    asked.ended = true;
    asked.endedAt = base::monotonicNow();
    m_waiting.pop_front();
}

void PipeliningCaller::endAll(bool byCaller)
{
    bool isFirst = true;
    while (!m_waiting.empty()) {
        auto &asked = m_ledger.asked(m_waiting.front());
        // Those behind the first one may not have been read.
        asked.leftByCaller = byCaller || (!isFirst && asked.runs.empty());
        isFirst = false;
        end(0);
    }
    m_patience.stop();
    m_connection.reset();
    m_body.clear();
    m_pause.startOnce(betweenSeries);
}

} // namespace ibisfork::soak
