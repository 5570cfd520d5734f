#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace ibisfork::review {

/// Seconds since the program started, by the steady clock.
double secondsNow();
void sleepFor(double seconds);

/// One request or response; names of headers are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of the header @p name, which is in lower case; empty if there is none.
    std::string header(const std::string &name) const;
    bool isChunked() const { return header("transfer-encoding") == "chunked"; }
    /// Status of a response, 0 if it can't be read.
    int status() const;
};

/// A connected socket with blocking calls, which end when another thread shuts it down.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to 127.0.0.1:@p port; null if that is refused.
    static std::unique_ptr<Connection> open(int port);

    bool write(std::string_view bytes);
    /// Reads a head without the body that follows it.
    std::optional<Message> readHead();
    /// Reads a head and its body.
    std::optional<Message> readMessage();
    /// Reads the next chunk of a body; empty for the last one.
    std::optional<std::string> readChunk();
    /// Ends reading and writing in both directions.
    void shutDown();
    /// Reads give up after this time.
    void setTimeout(double seconds);

private:
    bool fill();
    std::optional<std::string> readLine();
    std::optional<std::string> readBytes(std::size_t count);

    int m_socket;
    std::string m_buffer;
};

/// Listens on a port of 127.0.0.1, with one thread for each connection.
class Server
{
public:
    /// Answers one request; the connection is closed if it returns false.
    using Handler = std::function<bool(Connection &, const Message &)>;

    /// @p port: 0 for any free one.
    explicit Server(Handler handler, int port = 0);

    int port() const { return m_port; }
    void start();
    /// Ends all connections and refuses new ones, as the end of a process does, until start() is called.
    void crash();

private:
    void acceptAll(int listener);
    void serve(const std::shared_ptr<Connection> &connection);

    Handler m_handler;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    int m_listener = -1;
    int m_port = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string responseHead(int status, const Headers &headers);
/// A whole response with a length.
std::string response(int status, const Headers &headers, const std::string &body);
std::string chunk(const std::string &bytes);
/// An event of a stream.
std::string eventText(unsigned long number, const std::string &id);
/// A port of 127.0.0.1 that nothing listens on.
int freePort();

} // namespace ibisfork::review
