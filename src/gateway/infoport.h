#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/callerport.h"

namespace ibisfork::gateway {

struct InfoAnswer
{
    int status = 200;
    std::string body;
};

/// A port that answers questions about the node itself.
class InfoPort
{
public:
    using Answer = std::function<InfoAnswer(const std::string &path)>;

    InfoPort(event_base *base, const net::Address &address, Answer answer);

    net::Address address() const { return m_port.address(); }

private:
    void accept(evutil_socket_t socket);

    event_base *m_base;
    Answer m_answer;
    std::map<http::CallerConnection *, std::unique_ptr<http::CallerConnection>> m_connections;
    ListeningPort m_port;
};

} // namespace ibisfork::gateway
