/// Routes name several models and may run a request once; the smallest model is unsure of its answers.

#include <iostream>

#include "../stand-2/stand.h"

namespace {

using namespace std::chrono_literals;
using stand::Connection;
using stand::Message;
using stand::Outcome;

constexpr int engineCount = 3;
constexpr int requestCount = 20;
constexpr int eventCount = 5;
/// What a model says of its answer: unsure, and sure.
constexpr int lowConfidence = 10;
constexpr int highConfidence = 95;

/// Runs of each request, by its id.
class Runs
{
public:
    void add(const std::string &id, const std::string &where)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id].push_back(where);
    }
    std::vector<std::string> of(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
};

std::string eventOf(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

std::string chunkOf(const std::string &text)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string size;
    for (auto left = text.size(); left > 0; left /= 16) {
        size.insert(size.begin(), digits[left % 16]);
    }
    return size + "\r\n" + text + "\r\n";
}

/// A sound engine: it runs what it is sent, and drops a run whose connection closes.
class Engine
{
public:
    Engine(int number, stand::Record &record, Runs &runs)
        : m_id("i-" + std::to_string(number))
        , m_record(record)
        , m_runs(runs)
        , m_server([this](Connection &connection, const Message &request) { handle(connection, request); })
    { }

    const std::string &id() const { return m_id; }
    std::string entry(int seq) const
    {
        return nlohmann::json{{"service", "models"},
                              {"address", m_server.address()},
                              {"zone", "a"},
                              {"version", "v1"},
                              {"slots", 16},
                              {"state", "ready"},
                              {"coldLeftMs", 0},
                              {"born", 1700000000000},
                              {"seq", seq}}
            .dump();
    }

private:
    void handle(Connection &connection, const Message &request)
    {
        if (request.target() == "/healthz") {
            connection.send(stand::answer(200, "Ibisfork-Instance-Id: " + m_id + "\r\n", ""));
            return;
        }
        const auto id = request.header("Ibisfork-Attempt-Id");
        if (request.header("Ibisfork-Expect-Instance") != m_id) {
            connection.send(stand::answer(421, "Ibisfork-Attempt-Id: " + id + "\r\n", ""));
            return;
        }
        const auto model = request.header("Ibisfork-Model");
        // Larger models answer well what the smallest one is unsure of.
        const bool isUnsure = stand::withTrouble() && model == "small";
        const int confidence = isUnsure ? lowConfidence : highConfidence;
        m_runs.add(id, m_id + " with " + model);
        m_record.line("run of " + id + " at engine " + m_id + " with model " + model + ", confidence "
                      + std::to_string(confidence));
        const auto head = "Ibisfork-Attempt-Id: " + id + "\r\nIbisfork-Response-Seal: s-" + id
            + "\r\nIbisfork-Confidence: " + std::to_string(confidence) + "\r\n";
        if (request.target().starts_with("/order/")) {
            std::this_thread::sleep_for(20ms);
            connection.send(stand::answer(200, head, "done by " + model));
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\n" + head
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= eventCount; ++i) {
            std::this_thread::sleep_for(20ms);
            if (connection.hasEnded() || !connection.send(chunkOf(eventOf(i)))) {
                m_record.line("run of " + id + " at engine " + m_id + " dropped after " + std::to_string(i - 1)
                              + " events");
                return;
            }
        }
        connection.send("0\r\n\r\n");
    }

    std::string m_id;
    stand::Record &m_record;
    Runs &m_runs;
    stand::Server m_server;
};

std::string configuration()
{
    const auto route = [](const char *name, const char *prefix, const char *type) {
        return nlohmann::json{{"name", name},
                              {"hostname", "h.example"},
                              {"pathPrefix", prefix},
                              {"routeType", type},
                              {"timeoutMs", 15000},
                              {"goalMs", 2000},
                              {"priority", 0},
                              {"sizes", {"small", "middle", "large"}},
                              {"service", "models"},
                              {"maxAttempts", 3},
                              {"public", false},
                              {"sticky", true},
                              {"itlTargetMs", 1200}};
    };
    const nlohmann::json models{
        {{"name", "small"}, {"cost", 0.02}}, {{"name", "middle"}, {"cost", 0.15}}, {{"name", "large"}, {"cost", 0.3}}};
    const nlohmann::json service{{"name", "models"},
                                 {"healthPath", "/healthz"},
                                 {"maxConns", 360},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"coldStartS", 0.0},
                                 {"coldPerS", 0.0},
                                 {"engineType", {{"slots", 16}, {"holdMs", 2000.0}, {"modelList", models}}}};
    return nlohmann::json{
        {"version", 7},
        {"routes", {route("act", "/act/", "streaming"), route("order", "/order/", "non_idempotent")}},
        {"services", {service}},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "t1"}, {"apiKeys", {"key1"}}, {"priority", 1}}}}}
        .dump();
}

std::string requestOf(const std::string &id, const std::string &path)
{
    const std::string body = "{\"prompt\": \"post the score\"}";
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: " + id
        + "\r\nIbisfork-Model: *\r\nIbisfork-Token-Usage: 400,40\r\nIbisfork-Prefix-Hash: 5c1e07a2:100," + id
        + ":300\r\nIbisfork-Deadline-Ms: 15000\r\nIbisfork-Credential: key1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

[[noreturn]] void play(const std::string &program, const std::string &folder, stand::Record &record)
{
    stand::Store store;
    Runs runs;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= engineCount; ++i) {
        engines.push_back(std::make_unique<Engine>(i, record, runs));
        store.write("servers", engines.back()->id(), engines.back()->entry(1));
    }
    store.write("op", "config", configuration());
    std::atomic<bool> isOver{false};
    std::thread heartbeats([&] {
        for (int seq = 2; !isOver; ++seq) {
            std::this_thread::sleep_for(1200ms);
            for (const auto &engine : engines) {
                store.write("servers", engine->id(), engine->entry(seq));
            }
        }
    });
    stand::Node node(program, folder, store.address(), "n1", "a");
    node.start();
    const bool isReady = node.becomesReady();
    int answered = 0;
    int twice = 0;
    for (int i = 0; isReady && i < requestCount; ++i) {
        const bool isStream = i % 2 == 0;
        const auto id = "9c41d07be2a3" + std::to_string(1000 + i);
        const auto connection = Connection::open(node.port());
        record.line("request " + id + " sent, route " + (isStream ? "act (streaming, not resumable)" : "order"));
        if (!connection || !connection->send(requestOf(id, isStream ? "/act/x" : "/order/x"))) {
            continue;
        }
        connection->limitReads(16s);
        const auto got = connection->read();
        record.line("request " + id + " answered " + (got ? std::to_string(got->status()) : std::string("nothing"))
                    + (got && got->isWhole ? ", whole" : ", not whole"));
        answered += got && got->status() == 200 && got->isWhole ? 1 : 0;
        const auto ran = runs.of(id);
        if (ran.size() > 1) {
            ++twice;
            record.line("BROKEN: TWICE: request " + id + " may run once and ran " + std::to_string(ran.size())
                        + " times");
        }
    }
    isOver = true;
    node.end();
    heartbeats.join();
    const auto summary = std::to_string(answered) + " of " + std::to_string(requestCount) + " answered, "
        + std::to_string(twice) + " ran more than once";
    record.line(summary);
    std::cout << summary << std::endl;
    const auto outcome = answered == requestCount ? Outcome::Held : Outcome::NotRun;
    stand::finish(twice > 0 ? Outcome::Broken : outcome);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return static_cast<int>(Outcome::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    stand::Record record(argv[3]);
    play(argv[1], argv[2], record);
}
