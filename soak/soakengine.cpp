#include "soakengine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "http/status.h"
#include "net/deletelater.h"

namespace ibisfork::soak {

namespace {

constexpr std::chrono::milliseconds plainWork{80};
constexpr std::chrono::milliseconds betweenEvents{40};
constexpr int engineFailure = 500;
/// In per cent; low enough for a node to ask a larger model.
constexpr const char *lowConfidence = "10";
constexpr std::chrono::seconds restTime{2};
/// One event in so many is sent in two halves.
constexpr unsigned halvesOneIn = 3;
constexpr std::string_view holdTakePath = "/ibisfork/hold-take";
constexpr std::string_view holdDropPath = "/ibisfork/hold-drop/";

std::string valueOf(const http::Request &request, const char *name)
{
    return std::string(request.head.headers.find(name).value_or(""));
}

} // namespace

std::string plainBody(const std::string &id)
{
    return "answer to " + id;
}

std::string eventData(const std::string &id, unsigned number)
{
    return fmt::format("id: {}\ndata: {}-{}\n\n", number, id, number);
}

SoakEngine::SoakEngine(event_base *base, Ledger &ledger, EngineIdentity identity)
    : m_base(base)
    , m_ledger(ledger)
    , m_identity(std::move(identity))
    , m_pause(base)
    , m_port(base, {"127.0.0.1", 0}, [this](evutil_socket_t socket) { accept(socket); })
{ }

SoakEngine::~SoakEngine()
{
    crash();
}

void SoakEngine::accept(evutil_socket_t socket)
{
    http::CallerConnection::Handlers handlers;
    handlers.onRequest = [this](http::CallerConnection &connection, const http::Request &request) {
        const auto now = base::monotonicNow();
        m_pause.whenOver([this, &connection, request, now] { take(connection, request, now); });
    };
    // An engine that is silent doesn't see either that its caller has left.
    handlers.onCallerLeft = [this](http::CallerConnection &connection) {
        m_pause.whenOver([this, &connection] { stopWork(connection); });
    };
    handlers.onClosed = [this](http::CallerConnection &connection) {
        m_pause.whenOver([this, &connection] { forget(connection); });
    };
    auto connection = std::make_unique<http::CallerConnection>(
        m_base, socket, [] { return http::CallerBounds(); }, std::move(handlers));
    m_connections.emplace(connection.get(), std::move(connection));
}

void SoakEngine::stopWork(http::CallerConnection &connection)
{
    const auto found = m_work.find(&connection);
    if (found != m_work.end()) {
        m_ledger.stopped(found->second.id, m_identity.id);
        m_work.erase(found);
    }
}

void SoakEngine::forget(http::CallerConnection &connection)
{
    stopWork(connection);
    auto found = m_connections.extract(&connection);
    if (found) {
        net::deleteLater(m_base, std::move(found.mapped()));
    }
}

void SoakEngine::take(http::CallerConnection &connection, const http::Request &request, base::TimePoint arrived)
{
    const auto id = valueOf(request, "Ibisfork-Attempt-Id");
    const auto expected = valueOf(request, "Ibisfork-Expect-Instance");
    if (!expected.empty() && expected != m_identity.id) {
        refuse(connection, id, http::status::misdirected);
        return;
    }
    if (answerHoldCall(connection, request)) {
        return;
    }
    const bool hasRoom = m_holds.use(valueOf(request, "Ibisfork-Hold")) || !busy();
    if (request.head.target == healthPath && hasRoom) {
        answerHealthCheck(connection);
        return;
    }
    m_ledger.reached(id, m_identity.id);
    if (resting()) {
        askForRest(connection, id);
        return;
    }
    if (!hasRoom) {
        refuse(connection, id, http::status::unavailable);
        return;
    }
    m_ledger.ran(id,
                 {m_identity.id, m_identity.service, m_identity.domain, arrived, base::monotonicNow(), std::nullopt});
    start(connection, request, id);
}

bool SoakEngine::answerHoldCall(http::CallerConnection &connection, const http::Request &request)
{
    const std::string_view target = request.head.target;
    if (target.starts_with(holdDropPath)) {
        m_holds.drop(std::string(target.substr(holdDropPath.size())));
        connection.sendAnswer(http::status::ok, {}, "{}", false);
        return true;
    }
    if (target != holdTakePath) {
        return false;
    }
    if (busy() || resting()) {
        connection.sendAnswer(http::status::unavailable, {}, "{}", false);
        return true;
    }
    const auto asked = nlohmann::json::parse(request.body.view());
    const std::chrono::milliseconds ttl(asked.at("ttlMs").get<std::int64_t>());
    const nlohmann::json answer{{"reserve", m_holds.take(ttl)}};
    connection.sendAnswer(http::status::ok, {}, answer.dump(), false);
    return true;
}

void SoakEngine::start(http::CallerConnection &connection, const http::Request &request, const std::string &id)
{
    if (m_failing && ++m_runs % 2 == 0) {
        m_ledger.stopped(id, m_identity.id);
        connection.sendAnswer(engineFailure, headersFor(id), "failed", false);
        return;
    }
    auto &work = m_work[&connection];
    work = {};
    work.id = id;
    work.path = request.head.target;
    work.isUnsure = valueOf(request, "Ibisfork-Model") == smallModel && ++m_runsOfSmallModel % 2 == 0;
    const auto last = valueOf(request, "Last-Event-Id");
    work.nextEvent = last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1;
    work.timer = std::make_unique<net::Timer>(m_base, [this, &connection] { step(connection); });
    work.timer->startEvery(work.path.starts_with("/stream/") ? betweenEvents : plainWork);
}

void SoakEngine::answerHealthCheck(http::CallerConnection &connection) const
{
    http::HeaderList headers;
    headers.add("Ibisfork-Instance-Id", m_identity.id);
    if (m_leaving) {
        headers.add("Server-Leaving", "1");
    }
    connection.sendAnswer(m_leaving ? http::status::unavailable : http::status::ok, headers, {}, false);
}

void SoakEngine::step(http::CallerConnection &connection)
{
    if (m_pause.active()) {
        return;
    }
    auto &work = m_work.at(&connection);
    const bool stream = work.path.starts_with("/stream/");
    if (stream) {
        beginStream(connection, work);
    }
    if (stream && (work.nextEvent <= eventsOfStream || !work.restOfEvent.empty())) {
        sendEvent(connection, work);
        return;
    }
    const auto id = work.id;
    const auto headers = headersFor(work);
    stopWork(connection);
    if (stream) {
        connection.endStream();
    } else {
        connection.sendAnswer(http::status::ok, headers, plainBody(id), false);
        m_ledger.answered(id, m_identity.id, base::monotonicNow());
    }
}

void SoakEngine::beginStream(http::CallerConnection &connection, Work &work)
{
    if (!work.begun) {
        auto headers = headersFor(work);
        headers.add("Content-Type", "text/event-stream");
        connection.beginStream(http::status::ok, headers, false);
        work.begun = true;
    }
}

void SoakEngine::sendEvent(http::CallerConnection &connection, Work &work)
{
    if (!work.restOfEvent.empty()) {
        connection.sendPiece(std::exchange(work.restOfEvent, {}));
        return;
    }
    const auto number = work.nextEvent++;
    const auto event = eventData(work.id, number);
    const auto sentNow = number % halvesOneIn == 0 ? event.size() / 2 : event.size();
    connection.sendPiece(event.substr(0, sentNow));
    work.restOfEvent = event.substr(sentNow);
}

void SoakEngine::refuse(http::CallerConnection &connection, const std::string &id, int status)
{
    http::HeaderList headers;
    if (!id.empty()) {
        headers.add("Ibisfork-Attempt-Id", id);
    }
    headers.add("Ibisfork-Not-Executed", "1");
    addMark(headers, id);
    connection.sendAnswer(status, headers, {}, false);
}

void SoakEngine::askForRest(http::CallerConnection &connection, const std::string &id)
{
    http::HeaderList headers;
    headers.add("Ibisfork-Attempt-Id", id);
    headers.add("Ibisfork-Not-Executed", "1");
    headers.add("Retry-After", std::to_string(restTime.count()));
    addMark(headers, id);
    m_ledger.restAsked(id, m_identity.id, restTime);
    connection.sendAnswer(http::status::unavailable, headers, {}, false);
}

void SoakEngine::addMark(http::HeaderList &headers, const std::string &id)
{
    if (m_leaving) {
        headers.add("Server-Leaving", "1");
        m_ledger.marked(id, m_identity.id);
    }
}

http::HeaderList SoakEngine::headersFor(const std::string &id)
{
    http::HeaderList headers;
    headers.add("Ibisfork-Attempt-Id", id);
    headers.add("Ibisfork-Response-Seal", "seal of " + id);
    addMark(headers, id);
    return headers;
}

http::HeaderList SoakEngine::headersFor(const Work &work)
{
    auto headers = headersFor(work.id);
    if (work.isUnsure) {
        headers.add("Ibisfork-Confidence", lowConfidence);
    }
    return headers;
}

void SoakEngine::crash()
{
    m_pause.cancel();
    for (const auto &[connection, work] : m_work) {
        m_ledger.stopped(work.id, m_identity.id);
    }
    m_work.clear();
    m_connections.clear();
}

} // namespace ibisfork::soak
