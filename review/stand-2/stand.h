#pragma once

/// Stand-ins for the cases of the second review: a platform's store, engines, requesters and the node's process. One
/// thread a connection; everything is on loopback addresses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <nlohmann/json.hpp>

namespace stand {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
using nlohmann::json;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline std::string base64(const std::string &text)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = (value << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > text.size() ? '=' : digits[(value >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A port of the loopback address that was free a moment ago.
inline int freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

/// Record of what was sent, answered and run; one line each.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_began(nowMs())
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << (nowMs() - m_began) << " ms " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_began;
};

/// A message's head and body as they came.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False if the connection ended before the message did.
    bool isWhole = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string target() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    std::string parameter(const std::string &name) const
    {
        const auto text = target() + "&";
        const auto at = text.find(name + "=");
        return at == std::string::npos ? std::string()
                                       : text.substr(at + name.size() + 1, text.find('&', at) - at - name.size() - 1);
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

/// One TCP connection, read message by message.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(m_fd); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    int fd() const { return m_fd; }
    /// Ends the connection without an answer; its reader closes it.
    void end() const { shutdown(m_fd, SHUT_RDWR); }
    void limitReads(std::chrono::milliseconds time) const
    {
        const timeval limit{time.count() / 1000, time.count() % 1000 * 1000};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// True if the other end has closed the connection.
    bool hasEnded() const
    {
        char byte = 0;
        const auto count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads one message; nothing if the connection ends, or the limit of reads passes, before its head is whole.
    std::optional<Message> read()
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
        }
        Message message;
        std::string head = m_bytes.substr(0, end + 2);
        m_bytes.erase(0, end + 4);
        message.startLine = head.substr(0, head.find("\r\n"));
        head.erase(0, message.startLine.size() + 2);
        while (!head.empty()) {
            const auto line = head.substr(0, head.find("\r\n"));
            head.erase(0, line.size() + 2);
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? std::string() : line.substr(value));
        }
        readBody(message);
        return message;
    }

private:
    bool more()
    {
        std::string piece(65536, '\0');
        const auto count = recv(m_fd, piece.data(), piece.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_bytes.append(piece, 0, static_cast<std::size_t>(count));
        return true;
    }
    bool take(std::size_t size, std::string &to)
    {
        while (m_bytes.size() < size) {
            if (!more()) {
                to += std::exchange(m_bytes, {});
                return false;
            }
        }
        to += m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return true;
    }
    void readBody(Message &message)
    {
        if (message.header("Transfer-Encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                    if (!more()) {
                        return;
                    }
                }
                const auto size = std::strtoul(m_bytes.c_str(), nullptr, 16);
                m_bytes.erase(0, end + 2);
                std::string mark;
                if (!take(size, message.body) || !take(2, mark)) {
                    return;
                }
                if (size == 0) {
                    message.isWhole = true;
                    return;
                }
            }
        }
        message.isWhole = take(std::strtoul(message.header("Content-Length").c_str(), nullptr, 10), message.body);
    }

    int m_fd;
    std::string m_bytes;
};

/// Accepts connections on a port and hands each request on, on a thread of its connection.
class Server
{
public:
    using Handler = std::function<void(Connection &, const Message &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
        , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = loopback(0);
        bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_fd, 512);
        socklen_t size = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Closes the port and all connections at once.
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    bool open(int fd)
    {
        const std::lock_guard lock(m_mutex);
        return !m_isStopped && m_open.insert(fd).second;
    }
    void serve(int fd)
    {
        Connection connection(fd);
        if (!open(fd)) {
            return;
        }
        while (const auto request = connection.read()) {
            if (!request->isWhole) {
                break;
            }
            m_handler(connection, *request);
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
    }

    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_open;
    bool m_isStopped = false;
    int m_fd;
    int m_port = 0;
};

inline std::string answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// The platform's store: rows of all tables under one counter, read whole, by feed, and written under conditions.
class Store
{
public:
    Store()
        : m_server([this](Connection &connection, const Message &request) { handle(connection, request); })
    { }

    std::string address() const { return m_server.address(); }

    void write(const std::string &table, const std::string &key, const std::string &data)
    {
        const std::lock_guard lock(m_mutex);
        put(table, key, base64(data), false);
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        put(table, key, {}, true);
        m_changed.notify_all();
    }
    /// Called with each row that the system writes.
    void onWrite(
        std::function<void(const std::string &table, const std::string &key, const std::string &data)> callback)
    {
        m_onWrite = std::move(callback);
    }
    /// While it is away, each call's connection is closed.
    void setAway(bool isAway)
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = isAway;
        m_changed.notify_all();
    }
    /// Goes back to the rows and the version of @p time, in a new era.
    void restore(std::int64_t time)
    {
        const std::lock_guard lock(m_mutex);
        m_tables.clear();
        m_version = 0;
        std::erase_if(m_history, [&](const Change &change) { return change.at > time; });
        for (const auto &change : m_history) {
            m_tables[change.table][change.key] = change.row;
            m_version = change.row.version;
        }
        ++m_era;
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string data;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    struct Change
    {
        std::int64_t at = 0;
        std::string table;
        std::string key;
        Row row;
    };

    void put(const std::string &table, const std::string &key, const std::string &data, bool isRemoved)
    {
        m_tables[table][key] = {data, ++m_version, isRemoved};
        m_history.push_back({nowMs(), table, key, m_tables[table][key]});
    }
    json rowJson(const std::string &table, const std::string &key, const Row &row) const
    {
        json out{{"table", table}, {"part", ""}, {"key", key}, {"rowVersion", row.version}};
        if (row.isRemoved) {
            out["deleted"] = true;
        } else {
            out["data"] = row.data;
        }
        return out;
    }
    json changes(const std::string &table, std::uint64_t after) const
    {
        std::map<std::uint64_t, json> ordered;
        const auto found = m_tables.find(table);
        if (found != m_tables.end()) {
            for (const auto &[key, row] : found->second) {
                if (row.version > after) {
                    ordered[row.version] = rowJson(table, key, row);
                }
            }
        }
        json rows = json::array();
        for (const auto &item : ordered) {
            rows.push_back(item.second);
        }
        return rows;
    }
    std::string reply(int status, json body) const
    {
        body["rowVersion"] = m_version;
        body["nowMs"] = nowMs();
        const auto era = "Store-Era: " + std::to_string(m_era) + "\r\n";
        return answer(status, era + "Content-Type: application/json\r\n", body.dump());
    }

    void handle(Connection &connection, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        const auto era = m_era;
        if (m_isAway) {
            connection.end();
            return;
        }
        const auto target = request.target();
        const auto table = request.parameter("table");
        std::string out;
        if (target.starts_with("/ibisfork/rows-get")) {
            json rows = json::array();
            for (const auto &[key, row] : m_tables[table]) {
                if (!row.isRemoved) {
                    rows.push_back(rowJson(table, key, row));
                }
            }
            out = reply(200, {{"rows", rows}, {"hasMore", false}});
        } else if (target.starts_with("/ibisfork/rows-feed")) {
            const auto after = std::strtoull(request.parameter("sinceRev").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::atoi(request.parameter("waitMs").c_str()));
            m_changed.wait_for(lock, wait, [&] { return m_isAway || era != m_era || !changes(table, after).empty(); });
            if (m_isAway || era != m_era) {
                connection.end();
                return;
            }
            out = after > m_version ? reply(410, json::object()) : reply(200, {{"rows", changes(table, after)}});
        } else {
            out = transaction(json::parse(request.body));
        }
        lock.unlock();
        connection.send(out);
    }
    std::string transaction(const json &call)
    {
        json rows = json::array();
        bool holds = true;
        for (const auto &item : call["expectedRev"]) {
            const auto &row = m_tables[item["table"]][item["key"]];
            const auto version = row.isRemoved ? 0 : row.version;
            holds = holds && version == item["rowVersion"].get<std::uint64_t>();
            if (version != 0) {
                rows.push_back(rowJson(item["table"], item["key"], row));
            }
        }
        if (!holds) {
            return reply(412, {{"rows", rows}});
        }
        for (const auto &item : call["write"]) {
            put(item["table"], item["key"], item["data"], false);
            if (m_onWrite) {
                m_onWrite(item["table"], item["key"], item["data"]);
            }
        }
        for (const auto &item : call["remove"]) {
            put(item["table"], item["key"], {}, true);
        }
        m_changed.notify_all();
        return reply(200, json::object());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Change> m_history;
    std::uint64_t m_version = 0;
    std::uint32_t m_era = 1;
    bool m_isAway = false;
    std::function<void(const std::string &, const std::string &, const std::string &)> m_onWrite;
    Server m_server;
};

/// The node: a process of the deploy file's program, with settings as its template renders them.
class Node
{
public:
    Node(std::string program, std::string folder, std::string store, std::string name, std::string zone)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_store(std::move(store))
        , m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_callers(freePort())
        , m_readiness(freePort())
        , m_operators(freePort())
        , m_forwarding(freePort())
    {
        setSeeds({operators()});
    }
    ~Node() { end(); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    int port() const { return m_callers; }
    pid_t pid() const { return m_pid; }
    std::string operators() const { return addressOf(m_operators); }

    /// Writes the settings, as the deploy file's template renders them.
    void setSeeds(const std::vector<std::string> &seeds) const
    {
        std::ofstream(settings()) << "node:\n  name: \"" << m_name << "\"\n  failure_domain: \"" << m_zone
                                  << "\"\n  region: \"r\"\nlisten:\n  callers: \"" << addressOf(m_callers)
                                  << "\"\n  readiness: \"" << addressOf(m_readiness) << "\"\n  operators: \""
                                  << operators() << "\"\n  forwarding: \"" << addressOf(m_forwarding)
                                  << "\"\nstore:\n  address: \"" << m_store << "\"\nseeds: " << json(seeds).dump()
                                  << "\nbounds:\n  resend_ratio: 0.9\n  resend_extra: 54\n  resend_window: 10s\n"
                                     "  cold_factor: 1.5\n  cold_tolerance: 5\n  exposure_share: 0.15\n"
                                     "  exposure_tolerance: 30\n  engine_heartbeat: 1200ms\n  shutdown_grace: 8s\n"
                                     "waiting:\n  most: 500\n";
    }

    void start()
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto path = settings();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            setenv("IBISFORK_CONFIG", path.c_str(), 1);
            setenv("IBISFORK_MEMORY_MB", "110", 1);
            setenv("IBISFORK_DESCRIPTORS", "4100", 1);
            execl(m_program.c_str(), m_program.c_str(), "--settings", path.c_str(), nullptr);
            _exit(127);
        }
        std::ofstream(pidFile()) << m_pid << std::endl;
    }
    bool isReady() const
    {
        const auto connection = Connection::open(m_readiness);
        if (!connection || !connection->send("GET /ibisfork/readyz HTTP/1.1\r\nHost: n\r\n\r\n")) {
            return false;
        }
        connection->limitReads(1s);
        const auto got = connection->read();
        return got && got->status() == 200;
    }
    bool becomesReady(std::chrono::seconds within = 15s) const
    {
        const auto until = Clock::now() + within;
        while (Clock::now() < until) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }
    /// True if the process has ended by itself.
    bool hasEnded()
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid == 0;
    }
    void end()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
            std::remove(pidFile().c_str());
        }
    }

private:
    static std::string addressOf(int port) { return "127.0.0.1:" + std::to_string(port); }
    std::string settings() const { return m_folder + "/" + m_name + ".yaml"; }
    /// Names the process to whoever has to end it in place of this program.
    std::string pidFile() const { return m_folder + "/" + m_name + ".pid"; }

    std::string m_program;
    std::string m_folder;
    std::string m_store;
    std::string m_name;
    std::string m_zone;
    int m_callers;
    int m_readiness;
    int m_operators;
    int m_forwarding;
    pid_t m_pid = 0;
};

/// Exit statuses of a case.
enum class Outcome {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Ends the case at once: threads of open connections are still about.
[[noreturn]] inline void finish(Outcome outcome)
{
    std::_Exit(static_cast<int>(outcome));
}

/// False for a run without the disruption.
inline bool withTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace stand
