// Sends the same request again and again, which ends each engine that begins to run it, and counts how often it still
// reaches engines later than contactMs after it has ended the third one.

#include <cstdio>

#include "../stand/fleet.h"

namespace ibisfork::review {

namespace {

constexpr std::size_t nodeCount = 3;
constexpr std::size_t engineCount = 6;
constexpr const char *service = "models";
constexpr const char *harmfulBody = "a prompt that ends engines";
/// From the site file: contactMs, and the heartbeats of engines.
constexpr double contactTime = 3.0;
constexpr double heartbeat = 1.2;
/// The rule allows so many retries after that.
constexpr std::size_t allowedRetries = 3;
constexpr std::size_t crashesToKnow = 3;
/// An engine is back after some seconds.
constexpr double restartTime = 2.0;
constexpr double betweenEvents = 0.05;
constexpr unsigned eventsOfStream = 10;
constexpr double betweenRequests = 2.0;
constexpr unsigned harmfulRequests = 16;
constexpr double callerTimeout = 20;

struct Arrival
{
    double at;
    std::string id;
    std::string engine;
};

/// What the engines have seen of the harmful request.
struct Sightings
{
    std::mutex mutex;
    std::vector<Arrival> arrivals;
    std::vector<double> crashes;
};

/// An engine that ends when it begins to run the harmful request: with its first token, which is sent.
class Engine
{
public:
    Engine(std::string id, std::string domain, Store &store, Record &record, Sightings &sightings)
        : m_id(std::move(id))
        , m_domain(std::move(domain))
        , m_store(store)
        , m_record(record)
        , m_sightings(sightings)
        , m_server([this](Connection &connection, const Message &request) { return answer(connection, request); })
    {
        writeEntry();
    }

    void writeEntry()
    {
        if (m_runs) {
            m_store.put("servers", m_id, engineEntry(service, m_server.port(), m_domain, "v1", m_born));
        }
    }

private:
    bool answer(Connection &connection, const Message &request)
    {
        if (request.startLine.find("/healthz") != std::string::npos) {
            return connection.write(response(200, {{"Ibisfork-Instance-Id", m_id}}, {}));
        }
        const auto id = request.header("ibisfork-attempt-id");
        const bool isHarmful = request.body == harmfulBody;
        if (isHarmful) {
            const std::lock_guard lock(m_sightings.mutex);
            m_sightings.arrivals.push_back({secondsNow(), id, m_id});
            m_record.add("engine " + m_id + " got " + id + " after event " + request.header("last-event-id"));
        }
        const Headers headers{{"Ibisfork-Attempt-Id", id},
                              {"Ibisfork-Response-Seal", "seal-" + id},
                              {"Content-Type", "text/event-stream"},
                              {"Transfer-Encoding", "chunked"}};
        if (!connection.write(responseHead(200, headers) + "\r\n")) {
            return false;
        }
        const auto last = request.header("last-event-id");
        for (auto event = last.empty() ? 1 : std::stoul(last) + 1; event <= eventsOfStream; ++event) {
            if (!connection.write(chunk(eventText(event, id)))) {
                return false;
            }
            sleepFor(betweenEvents);
            if (isHarmful && hasTrouble()) {
                crash(id);
                return false;
            }
        }
        return connection.write(chunk({}));
    }

    void crash(const std::string &id)
    {
        m_runs = false;
        m_server.crash();
        {
            const std::lock_guard lock(m_sightings.mutex);
            m_sightings.crashes.push_back(secondsNow());
        }
        m_record.add("engine " + m_id + " ended by " + id);
        std::thread([this] {
            sleepFor(restartTime);
            m_born = unixMilliseconds();
            m_server.start();
            m_runs = true;
            writeEntry();
        }).detach();
    }

    std::string m_id;
    std::string m_domain;
    Store &m_store;
    Record &m_record;
    Sightings &m_sightings;
    std::atomic<std::int64_t> m_born = unixMilliseconds();
    std::atomic<bool> m_runs = true;
    Server m_server;
};

/// Returns the status that the caller got, 0 if the connection ended before the answer was complete.
int request(int port, const std::string &id, const std::string &body)
{
    const auto connection = Connection::open(port);
    if (!connection) {
        return 0;
    }
    connection->setTimeout(callerTimeout);
    // The first part of the prompt is shared with all other requests, the last one is the request's own.
    connection->write("POST /notes/2f HTTP/1.1\r\nHost: service.example\r\nIbisfork-Attempt-Id: " + id
                      + "\r\nIbisfork-Deadline-Ms: 20000\r\nIbisfork-Credential: key-1\r\nIbisfork-Model: m1\r\n"
                        "Ibisfork-Token-Usage: 628,300\r\nIbisfork-Prefix-Hash: 5c1e07a2:198,"
                      + (body == harmfulBody ? "bad0bad0" : id)
                      + ":430\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = connection->readMessage();
    return answer ? answer->status() : 0;
}

void run(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Store store;
    Sightings sightings;
    std::vector<std::unique_ptr<Engine>> engines;
    for (std::size_t i = 0; i < engineCount; ++i) {
        const auto name = std::to_string(i);
        engines.push_back(std::make_unique<Engine>("engine-" + name, "z" + name, store, record, sightings));
    }
    store.put(
        "op", "config", configuration(nlohmann::json::array({streamingRoute("/notes/", service, true)}), {service}));
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const auto name = std::to_string(i);
        nodes.push_back(std::make_unique<Node>("node-" + name, "z" + name, store.port(), folder));
        nodes.back()->start();
    }
    for (const auto &node : nodes) {
        if (!node->waitReady(10)) {
            failToRun("a node does not become ready");
        }
    }
    std::atomic<bool> goesOn = true;
    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> asked = 0;
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        while (goesOn) {
            sleepFor(heartbeat);
            for (const auto &engine : engines) {
                engine->writeEntry();
            }
        }
    });
    threads.emplace_back([&] {
        while (goesOn) {
            const auto id = "sound" + std::to_string(++asked);
            served += request(nodes[asked % nodeCount]->callers(), id, "prompt " + id) == 200 ? 1 : 0;
            sleepFor(0.1);
        }
    });
    // All machines are in touch when the first harmful request comes.
    sleepFor(contactTime + 1);
    for (unsigned i = 0; i < harmfulRequests; ++i) {
        const auto id = "harmful" + std::to_string(i);
        const auto &node = *nodes[i % nodeCount];
        record.add("caller sends " + id + " to " + node.name());
        record.add(id + " is answered " + std::to_string(request(node.callers(), id, harmfulBody)));
        sleepFor(betweenRequests);
    }
    goesOn = false;
    for (auto &thread : threads) {
        thread.join();
    }
    // Engines that have just ended are back, so that nothing of them is used any more.
    sleepFor(restartTime + 0.5);
    std::size_t late = 0;
    if (sightings.crashes.size() >= crashesToKnow) {
        const auto from = sightings.crashes[crashesToKnow - 1] + contactTime;
        for (const auto &arrival : sightings.arrivals) {
            late += arrival.at > from ? 1 : 0;
        }
    }
    const bool isBroken = late > allowedRetries;
    const auto summary = "arrivals " + std::to_string(sightings.arrivals.size()) + ", engines ended "
        + std::to_string(sightings.crashes.size()) + ", arrivals later than contactMs after the third end "
        + std::to_string(late) + " (allowed " + std::to_string(allowedRetries) + "), sound requests served "
        + std::to_string(served) + " of " + std::to_string(asked) + (isBroken ? ": BROKEN" : ": held");
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    if (served * 2 < asked) {
        failToRun("sound requests were not served");
    }
    nodes.clear();
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
