#include "soakcaller.h"

#include <span>

#include <fmt/format.h>

#include "http/status.h"
#include "net/deletelater.h"
#include "soakengine.h"
#include "times.h"
#include "unusualengine.h"
#include "unusualtext.h"

namespace ibisfork::soak {

namespace {

using gateway::Repeatability;

constexpr std::chrono::milliseconds betweenRequests{30};
/// One wait in so many is longer, but within four fifths of any idle limit.
constexpr std::chrono::milliseconds longWait{1000};
constexpr unsigned longWaitOneIn = 16;
/// Left over for the answer to arrive before the caller gives up.
constexpr std::chrono::milliseconds travel{500};
/// Within any idle limit.
constexpr std::chrono::milliseconds longestWithoutReading{1000};

struct Kind
{
    const char *path;
    Repeatability repeatability;
};

constexpr std::array usualKinds{
    Kind{"/read/", Repeatability::Idempotent},
    Kind{"/book/", Repeatability::AtMostOnce},
    Kind{"/stream/", Repeatability::Stream},
    Kind{"/moving/", Repeatability::AtMostOnce},
};
constexpr std::array longBodyKinds{Kind{longBodyPath, Repeatability::Idempotent}};
constexpr std::array longAnswerKinds{Kind{longAnswerPath, Repeatability::Idempotent}};
constexpr std::array unusualKinds{
    Kind{"/any/", Repeatability::Idempotent},
    Kind{"/odd/", Repeatability::AtMostOnce},
};

std::span<const Kind> kindsOf(Habit habit)
{
    switch (habit) {
    case Habit::Usual:
        return usualKinds;
    case Habit::LongBodies:
        return longBodyKinds;
    case Habit::ReadsSlowly:
        return longAnswerKinds;
    case Habit::AsksUnusualEngines:
        return unusualKinds;
    }
    return usualKinds;
}

std::string wholeStream(const std::string &id)
{
    std::string out;
    for (unsigned number = 1; number <= eventsOfStream; ++number) {
        out += eventData(id, number);
    }
    return out;
}

std::string wantedAnswer(const Asked &asked, const std::string &id)
{
    if (asked.kind == Repeatability::Stream) {
        return wholeStream(id);
    }
    return asked.path == longAnswerPath ? longText(id, longAnswerBytes(id)) : plainBody(id);
}

std::string shortened(const std::string &text)
{
    constexpr std::size_t shown = 300;
    return text.size() <= shown ? text : fmt::format("{}... ({} bytes)", text.substr(0, shown), text.size());
}

} // namespace

std::string soakRequest(const std::string &id, const Asked &asked, const std::string &body)
{
    http::RequestHead head;
    head.method = "POST";
    head.target = asked.path + id;
    head.headers.add("Host", "h.example");
    head.headers.add("Ibisfork-Attempt-Id", id);
    head.headers.add("Ibisfork-Credential", asked.key);
    // The node chooses the model, where a route has any.
    head.headers.add("Ibisfork-Model", "*");
    head.headers.add("Ibisfork-Deadline-Ms", std::to_string(patience.count()));
    return http::serializeRequest(head, body);
}

SoakCaller::SoakCaller(event_base *base,
                       Ledger &ledger,
                       Balancer &balancer,
                       std::uint64_t seed,
                       std::string name,
                       Habit habit)
    : m_base(base)
    , m_ledger(ledger)
    , m_balancer(balancer)
    , m_random(seed)
    , m_name(std::move(name))
    , m_habit(habit)
    , m_pause(base, [this] { next(); })
    , m_patience(base, [this] { timedOut(); })
    , m_readAgain(base, [this] { m_connection ? m_connection->pauseReading(false) : void(); })
{ }

void SoakCaller::start()
{
    m_pause.startOnce(betweenRequests);
}

void SoakCaller::next()
{
    if (m_stopped) {
        return;
    }
    if (m_connection && !m_connection->reusable()) {
        dropConnection();
    }
    if (!m_connection) {
        const auto choice = m_balancer.choose();
        if (!choice) {
            m_pause.startOnce(betweenRequests);
            return;
        }
        m_node = choice->node;
        m_connection = std::make_unique<http::UpstreamConnection>(m_base, choice->address);
    }
    send();
}

void SoakCaller::send()
{
    const auto kinds = kindsOf(m_habit);
    const auto &kind = kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(m_random)];
    m_id = fmt::format("{}-{}", m_name, ++m_count);
    auto &asked = m_ledger.asked(m_id);
    asked.kind = kind.repeatability;
    asked.path = kind.path;
    asked.key = m_balancer.key();
    asked.node = m_node;
    asked.sentAt = base::monotonicNow();
    m_status = 0;
    m_sealed = false;
    m_body.clear();
    http::UpstreamConnection::Handlers handlers;
    handlers.onHead = [this](const http::ResponseHead &head) {
        m_status = head.status;
        m_sealed = head.headers.find("Ibisfork-Response-Seal") == "seal of " + m_id;
        if (m_habit == Habit::ReadsSlowly) {
            readLater();
        }
    };
    handlers.onBody = [this](std::string_view bytes) {
        m_body += bytes;
    };
    handlers.onComplete = [this] {
        answered();
    };
    handlers.onFailure = [this](http::ConnectionFailure) {
        failed();
    };
    m_patience.startOnce(patience + travel);
    const auto body = m_habit == Habit::LongBodies ? longText(m_id, longBodyBytes(m_id)) : "question " + m_id;
    m_connection->send(soakRequest(m_id, asked, body), false, std::move(handlers));
}

void SoakCaller::readLater()
{
    const auto longest = static_cast<std::size_t>(longestWithoutReading.count());
    m_connection->pauseReading(true);
    m_readAgain.startOnce(std::chrono::milliseconds(m_random() % longest));
}

void SoakCaller::answered()
{
    checkAnswer();
    end(m_status);
}

void SoakCaller::checkAnswer()
{
    if (m_status != http::status::ok) {
        return;
    }
    const auto &asked = m_ledger.asked(m_id);
    if (!m_sealed || m_body != wantedAnswer(asked, m_id)) {
        m_ledger.broken(fmt::format("{} got an answer that is not its own whole one: \"{}\"", m_id, shortened(m_body)));
    }
}

void SoakCaller::failed()
{
    dropConnection();
    end(0);
}

void SoakCaller::timedOut()
{
    m_ledger.asked(m_id).leftByCaller = true;
    m_connection->abandon();
    dropConnection();
    end(0);
}

void SoakCaller::dropConnection()
{
    net::deleteLater(m_base, std::move(m_connection));
}

void SoakCaller::end(int status)
{
    m_patience.stop();
    m_readAgain.stop();
    if (m_connection) {
        m_connection->pauseReading(false);
    }
    auto &asked = m_ledger.asked(m_id);
    asked.status = status;
    asked.ended = true;
    asked.endedAt = base::monotonicNow();
    m_id.clear();
    m_pause.startOnce(m_count % longWaitOneIn == 0 ? longWait : betweenRequests);
}

} // namespace ibisfork::soak
