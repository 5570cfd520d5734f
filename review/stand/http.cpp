#include "http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace ibisfork::review {

namespace {

constexpr int listenBacklog = 512;
constexpr std::size_t readSize = 65536;
constexpr int hexadecimal = 16;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int listenOn(int port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    const bool isBound = bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    if (!isBound || listen(listener, listenBacklog) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

std::string trimmed(const std::string &text)
{
    const auto from = text.find_first_not_of(" \t");
    const auto to = text.find_last_not_of(" \t");
    return from == std::string::npos ? std::string() : text.substr(from, to - from + 1);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

double secondsNow()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int Message::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space);
}

Connection::~Connection()
{
    close(m_socket);
}

std::unique_ptr<Connection> Connection::open(int port)
{
    auto connection = std::make_unique<Connection>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = loopback(port);
    if (connect(connection->m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return nullptr;
    }
    setNoDelay(connection->m_socket);
    return connection;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill()
{
    std::array<char, readSize> part{};
    const auto got = ::recv(m_socket, part.data(), part.size(), 0);
    if (got <= 0) {
        return false;
    }
    m_buffer.append(part.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    auto line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> Connection::readBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    auto bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::optional<Message> Connection::readHead()
{
    auto line = readLine();
    if (!line) {
        return std::nullopt;
    }
    Message message;
    message.startLine = *line;
    for (line = readLine(); line && !line->empty(); line = readLine()) {
        const auto colon = std::min(line->find(':'), line->size() - 1);
        message.headers[lower(line->substr(0, colon))] = trimmed(line->substr(colon + 1));
    }
    return line ? std::optional(message) : std::nullopt;
}

std::optional<std::string> Connection::readChunk()
{
    const auto size = readLine();
    if (!size) {
        return std::nullopt;
    }
    auto bytes = readBytes(std::strtoul(size->c_str(), nullptr, hexadecimal));
    return bytes && readLine() ? bytes : std::nullopt;
}

std::optional<Message> Connection::readMessage()
{
    auto message = readHead();
    if (!message) {
        return std::nullopt;
    }
    if (!message->isChunked()) {
        const auto length = message->header("content-length");
        const auto body = readBytes(std::strtoul(length.c_str(), nullptr, 10));
        message->body = body.value_or(std::string());
        return body ? message : std::nullopt;
    }
    for (auto part = readChunk(); part; part = readChunk()) {
        if (part->empty()) {
            return message;
        }
        message->body += *part;
    }
    return std::nullopt;
}

void Connection::shutDown()
{
    shutdown(m_socket, SHUT_RDWR);
}

void Connection::setTimeout(double seconds)
{
    constexpr double microseconds = 1e6;
    timeval time{};
    time.tv_sec = static_cast<time_t>(seconds);
    time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * microseconds);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

Server::Server(Handler handler, int port)
    : m_handler(std::move(handler))
    , m_port(port == 0 ? freePort() : port)
{
    start();
}

void Server::start()
{
    const std::lock_guard lock(m_mutex);
    m_listener = listenOn(m_port);
    std::thread([this, listener = m_listener] { acceptAll(listener); }).detach();
}

void Server::acceptAll(int listener)
{
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            close(listener);
            return;
        }
        setNoDelay(socket);
        auto connection = std::make_shared<Connection>(socket);
        const std::lock_guard lock(m_mutex);
        if (listener == m_listener) {
            m_connections.insert(connection);
            std::thread([this, connection] { serve(connection); }).detach();
        }
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    for (auto request = connection->readMessage(); request; request = connection->readMessage()) {
        if (!m_handler(*connection, *request)) {
            break;
        }
    }
    connection->shutDown();
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

void Server::crash()
{
    const std::lock_guard lock(m_mutex);
    shutdown(m_listener, SHUT_RDWR);
    m_listener = -1;
    for (const auto &connection : m_connections) {
        connection->shutDown();
    }
}

std::string responseHead(int status, const Headers &headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    return out;
}

std::string response(int status, const Headers &headers, const std::string &body)
{
    return responseHead(status, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string eventText(unsigned long number, const std::string &id)
{
    const auto text = std::to_string(number);
    std::string out = "id: ";
    return out.append(text).append("\ndata: ").append(id).append("-").append(text).append("\n\n");
}

int freePort()
{
    // Ports below those that the kernel gives to outgoing connections, which could take a port before its server does.
    constexpr int firstPort = 15000;
    constexpr int ports = 15000;
    constexpr int portsPerProcess = 64;
    static std::atomic<int> next = getpid() % (ports / portsPerProcess) * portsPerProcess;
    for (int tries = 0; tries < ports; ++tries) {
        const int port = firstPort + next++ % ports;
        const int listener = listenOn(port);
        if (listener >= 0) {
            close(listener);
            return port;
        }
    }
    return 0;
}

} // namespace ibisfork::review
