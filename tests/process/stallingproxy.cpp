#include "process/stallingproxy.h"

#include <array>
#include <stdexcept>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include "socketaddress.h"

namespace ibisfork::process {

namespace {

using test::socketAddress;

constexpr int pollMilliseconds = 10;

} // namespace

StallingProxy::StallingProxy(const std::string &target)
    : m_target(target)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = socketAddress({"127.0.0.1", 0});
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("the proxy can't listen");
    }
    m_port = test::boundAddress(m_listener).port;
    m_thread = std::thread([this] { run(); });
}

StallingProxy::~StallingProxy()
{
    m_stop = true;
    m_thread.join();
    close(m_listener);
    for (const auto &link : m_links) {
        close(link.caller);
        close(link.target);
    }
}

std::string StallingProxy::address() const
{
    return fmt::format("127.0.0.1:{}", m_port);
}

void StallingProxy::run()
{
    while (!m_stop) {
        std::vector<pollfd> polled{{m_listener, POLLIN, 0}};
        for (auto &link : m_links) {
            const short events = silent(link) ? 0 : POLLIN;
            polled.push_back({events != 0 ? link.caller : -1, events, 0});
            polled.push_back({events != 0 ? link.target : -1, events, 0});
        }
        poll(polled.data(), polled.size(), pollMilliseconds);
        for (std::size_t i = 0; i < m_links.size(); ++i) {
            auto &link = m_links[i];
            if (polled[2 * i + 1].revents != 0 && !silent(link)) {
                forward(link, link.caller, link.target);
            }
            if (polled[2 * i + 2].revents != 0 && !silent(link)) {
                forward(link, link.target, link.caller);
            }
        }
        if (polled[0].revents != 0) {
            acceptOne();
        }
    }
}

void StallingProxy::acceptOne()
{
    Link link;
    link.caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    link.target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    link.epoch = m_epoch;
    link.stalled = m_stallNew;
    const auto address = socketAddress(net::Address::parse(m_target));
    if (connect(link.target, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(link.caller);
        close(link.target);
        return;
    }
    ++m_accepted;
    m_links.push_back(link);
}

bool StallingProxy::silent(const Link &link) const
{
    return link.closed || link.stalled || link.epoch != m_epoch;
}

void StallingProxy::forward(Link &link, int from, int to)
{
    std::array<char, 4096> buffer;
    const auto limit = m_stallAfter.load();
    const bool back = from == link.target;
    const auto room = back && limit > 0 ? std::min(buffer.size(), limit - link.bytesBack) : buffer.size();
    const auto length = recv(from, buffer.data(), room, 0);
    if (length <= 0) {
        // Both ends learn of the close; the descriptors are freed with the proxy.
        shutdown(link.caller, SHUT_RDWR);
        shutdown(link.target, SHUT_RDWR);
        link.closed = true;
        return;
    }
    send(to, buffer.data(), static_cast<std::size_t>(length), MSG_NOSIGNAL);
    link.bytesBack += back ? static_cast<std::size_t>(length) : 0;
    link.stalled = limit > 0 && link.bytesBack >= limit;
}

} // namespace ibisfork::process
