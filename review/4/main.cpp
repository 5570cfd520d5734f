// A good version is brought in under steady traffic, a part of which comes in sessions. Counted are the requests that
// run on the old version after the one before in their session has run on the new one.

#include <algorithm>
#include <cstdio>
#include <random>

#include "../stand/fleet.h"

namespace ibisfork::review {

namespace {

constexpr std::size_t nodeCount = 7;
constexpr std::size_t enginesOfVersion = 6;
constexpr const char *service = "models";
constexpr const char *oldVersion = "v1";
constexpr const char *newVersion = "v2";
/// From the site file: contactMs, sessionS, the heartbeats of engines, and the time that a rollout is given.
constexpr double contactTime = 3.0;
constexpr double sessionTime = 5.0;
constexpr double heartbeat = 1.2;
constexpr unsigned rolloutPeriod = 24;
/// Time after the order until the engines of the new version are there.
constexpr double startTime = 0.5;
constexpr std::size_t allowedChanges = 3;
/// Reports come in sessions, their first event takes a good second; the other requests are short.
constexpr std::size_t reportSessions = 30;
constexpr double reportReadTime = 1.2;
constexpr double betweenReports = 0.2;
constexpr std::size_t shortCallers = 30;
constexpr double shortReadTime = 0.03;
constexpr double betweenShort = 0.3;
constexpr unsigned eventsOfStream = 3;
constexpr double betweenEvents = 0.02;
constexpr double callerTimeout = 20;

/// Which version has run each request.
struct Runs
{
    std::mutex mutex;
    std::map<std::string, std::string> versions;

    std::string versionOf(const std::string &id)
    {
        const std::lock_guard lock(mutex);
        const auto found = versions.find(id);
        return found == versions.end() ? std::string() : found->second;
    }
};

/// A sound engine.
class Engine
{
public:
    Engine(std::string id, std::string zone, std::string version, Runs &runs)
        : m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_version(std::move(version))
        , m_runs(runs)
        , m_server([this](Connection &connection, const Message &request) { return answer(connection, request); })
    { }

    void writeEntry(Store &store) const
    {
        store.put("servers", m_id, engineEntry(service, m_server.port(), m_zone, m_version, m_born));
    }

private:
    bool answer(Connection &connection, const Message &request)
    {
        if (request.startLine.find("/healthz") != std::string::npos) {
            return connection.write(response(200, {{"Ibisfork-Instance-Id", m_id}}, {}));
        }
        const auto id = request.header("ibisfork-attempt-id");
        {
            const std::lock_guard lock(m_runs.mutex);
            m_runs.versions[id] = m_version;
        }
        sleepFor(request.startLine.find("/reports/") != std::string::npos ? reportReadTime : shortReadTime);
        const Headers headers{{"Ibisfork-Attempt-Id", id},
                              {"Ibisfork-Response-Seal", "seal-" + id},
                              {"Content-Type", "text/event-stream"},
                              {"Transfer-Encoding", "chunked"}};
        if (!connection.write(responseHead(200, headers) + "\r\n")) {
            return false;
        }
        for (unsigned event = 1; event <= eventsOfStream; ++event) {
            if (!connection.write(chunk(eventText(event, id)))) {
                return false;
            }
            sleepFor(betweenEvents);
        }
        return connection.write(chunk({}));
    }

    std::string m_id;
    std::string m_zone;
    std::string m_version;
    Runs &m_runs;
    std::int64_t m_born = unixMilliseconds();
    Server m_server;
};

/// Returns true if the caller got the whole answer.
bool request(int port, const std::string &prefix, const std::string &id, const std::string &session)
{
    const auto connection = Connection::open(port);
    if (!connection) {
        return false;
    }
    connection->setTimeout(callerTimeout);
    std::string text = "POST ";
    text.append(prefix).append("2f HTTP/1.1\r\nHost: service.example\r\nIbisfork-Attempt-Id: ").append(id);
    text.append("\r\nIbisfork-Deadline-Ms: 20000\r\nIbisfork-Credential: key-1\r\nIbisfork-Model: m1\r\n");
    text.append("Ibisfork-Token-Usage: 628,300\r\n");
    if (!session.empty()) {
        text.append("Session: ").append(session).append("\r\n");
    }
    connection->write(text.append("Content-Length: 6\r\n\r\nprompt"));
    const auto answer = connection->readMessage();
    return answer && answer->status() == 200;
}

/// What all callers share.
struct Traffic
{
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> goesOn = true;
    std::atomic<unsigned> asked = 0;
    std::atomic<unsigned> served = 0;
    /// Changes to the old version, and to the new one in the first half of the rollout.
    std::atomic<unsigned> changesBack = 0;
    std::atomic<unsigned> changesEarly = 0;
    /// When the rollout was ordered; 0 before.
    std::atomic<double> orderedAt = 0;
};

/// The platform picks a node by a hash of the requester, so that each keeps its node.
int nodeOf(Traffic &traffic, std::size_t requester)
{
    return traffic.nodes[requester % nodeCount]->callers();
}

void callShort(Traffic &traffic, std::size_t index)
{
    std::mt19937 random(static_cast<unsigned>(index));
    std::uniform_real_distribution<double> pause(betweenShort / 2, betweenShort * 3 / 2);
    for (unsigned number = 1; traffic.goesOn; ++number) {
        const auto id = "short" + std::to_string(index) + '-' + std::to_string(number);
        ++traffic.asked;
        traffic.served += request(nodeOf(traffic, index), "/short/", id, {}) ? 1 : 0;
        sleepFor(pause(random));
    }
}

/// The requests of one session, each sent after the one before has been answered.
void callInSession(Traffic &traffic, Runs &runs, Record &record, std::size_t index)
{
    constexpr unsigned firstSeed = 1000;
    std::mt19937 random(static_cast<unsigned>(index) + firstSeed);
    std::uniform_real_distribution<double> pause(betweenReports / 2, betweenReports * 3 / 2);
    const auto session = "session" + std::to_string(index);
    sleepFor(reportReadTime * static_cast<double>(index) / static_cast<double>(reportSessions));
    std::string before;
    double endedAt = 0;
    for (unsigned number = 1; traffic.goesOn; ++number) {
        const auto id = session + '-' + std::to_string(number);
        const auto sentAt = secondsNow();
        ++traffic.asked;
        traffic.served += request(nodeOf(traffic, index), "/reports/", id, session) ? 1 : 0;
        const auto version = runs.versionOf(id);
        const double ordered = traffic.orderedAt;
        const bool follows = !before.empty() && sentAt - endedAt < sessionTime;
        if (follows && before != version && !version.empty()) {
            const bool isEarly = version == newVersion && sentAt - ordered < rolloutPeriod / 2.0;
            traffic.changesBack += version == oldVersion ? 1 : 0;
            traffic.changesEarly += isEarly ? 1 : 0;
            std::string line(id);
            line.append(" ran on ").append(version).append(" after ").append(before).append(", sent ");
            record.add(line.append(std::to_string(sentAt - ordered)).append(" s after the order"));
        }
        before = version.empty() ? before : version;
        endedAt = secondsNow();
        sleepFor(pause(random));
    }
}

void run(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Store store;
    Runs runs;
    Traffic traffic;
    std::mutex enginesMutex;
    std::vector<std::unique_ptr<Engine>> engines;
    const auto startEngines = [&](const std::string &version) {
        const std::lock_guard lock(enginesMutex);
        for (std::size_t i = 0; i < enginesOfVersion; ++i) {
            const auto zone = "z" + std::to_string(i % 3);
            const auto id = std::string("engine-").append(version).append("-").append(std::to_string(i));
            engines.push_back(std::make_unique<Engine>(id, zone, version, runs));
            engines.back()->writeEntry(store);
        }
    };
    startEngines(oldVersion);
    const auto routes
        = nlohmann::json::array({streamingRoute("/reports/", service, true), streamingRoute("/short/", service, true)});
    store.put("op", "config", configuration(routes, {service}));
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const auto zone = "z" + std::to_string(i % 3);
        traffic.nodes.push_back(std::make_unique<Node>("node-" + std::to_string(i), zone, store.port(), folder));
        traffic.nodes.back()->start();
    }
    for (const auto &node : traffic.nodes) {
        if (!node->waitReady(10)) {
            failToRun("a node does not become ready");
        }
    }
    sleepFor(contactTime + 1);
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        while (traffic.goesOn) {
            sleepFor(heartbeat);
            const std::lock_guard lock(enginesMutex);
            for (const auto &engine : engines) {
                engine->writeEntry(store);
            }
        }
    });
    for (std::size_t i = 0; i < shortCallers; ++i) {
        threads.emplace_back([&, i] { callShort(traffic, i); });
    }
    for (std::size_t i = 0; i < reportSessions; ++i) {
        threads.emplace_back([&, i] { callInSession(traffic, runs, record, i); });
    }
    sleepFor(sessionTime);
    if (hasTrouble()) {
        traffic.orderedAt = secondsNow();
        record.add("operator orders the new version");
        store.put("op",
                  std::string("rollout/") + service,
                  {{"service", service}, {"to", newVersion}, {"periodS", rolloutPeriod}});
        sleepFor(startTime);
        startEngines(newVersion);
    }
    // On completion the old engines would stop, so the play ends then.
    std::string state;
    for (const auto until = secondsNow() + rolloutPeriod; secondsNow() < until && state != "completed";
         sleepFor(0.02)) {
        const auto status = store.find("status", std::string("rollout/") + service);
        const auto next = status.is_object() ? status.value("state", std::string()) : std::string();
        if (next != state) {
            record.add("status is " + next);
            state = next;
        }
    }
    traffic.goesOn = false;
    for (auto &thread : threads) {
        thread.join();
    }
    if (hasTrouble() && state == "reverted") {
        failToRun("the good version was rolled back");
    }
    const auto changes = traffic.changesBack + traffic.changesEarly;
    const bool isBroken = changes > allowedChanges;
    const auto summary = "asked " + std::to_string(traffic.asked) + ", served " + std::to_string(traffic.served)
        + ", status " + state + ", changes back to the old version within sessions "
        + std::to_string(traffic.changesBack) + ", to the new one in the first half "
        + std::to_string(traffic.changesEarly) + " (allowed " + std::to_string(allowedChanges) + " together)"
        + (isBroken ? ": BROKEN" : ": held");
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    endWith(isBroken ? 1 : 0);
}

} // namespace

} // namespace ibisfork::review

int main(int count, char **arguments)
{
    if (count != 3) {
        std::fprintf(stderr, "usage: case FOLDER RECORD\n");
        return 2;
    }
    ibisfork::review::run(arguments[1], arguments[2]);
}
