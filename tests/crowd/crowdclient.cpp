#include "crowd/crowdclient.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "socketaddress.h"

namespace ibisfork::crowd {

namespace {

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ENOTCONN;
}

} // namespace

CrowdClient::CrowdClient(const net::Address &address, const ClientBehaviour &behaviour)
    : m_behaviour(behaviour)
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    const auto target = test::socketAddress(address);
    m_ended = connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 && !wouldBlock();
}

CrowdClient::~CrowdClient()
{
    close(m_socket);
}

std::string_view CrowdClient::nextPiece() const
{
    const std::string_view beginning = m_behaviour.beginning;
    if (m_sent < beginning.size()) {
        return beginning.substr(m_sent, m_behaviour.stepBytes);
    }
    const std::string_view text = m_behaviour.repeated;
    const auto repeated = m_sent - beginning.size();
    const auto left = m_behaviour.repeatedBytes - std::min(m_behaviour.repeatedBytes, repeated);
    return left == 0 ? std::string_view() : text.substr(repeated % text.size(), std::min(left, m_behaviour.stepBytes));
}

void CrowdClient::readAll() const
{
    std::array<char, 4096> bytes{};
    while (recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT) > 0) {
    }
}

bool CrowdClient::step()
{
    if (m_behaviour.reads) {
        readAll();
    }
    const auto piece = m_ended ? std::string_view() : nextPiece();
    if (piece.empty()) {
        return false;
    }
    const auto count = send(m_socket, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
        m_sent += static_cast<std::size_t>(count);
    }
    m_ended = count < 0 && !wouldBlock();
    return !m_ended;
}

} // namespace ibisfork::crowd
