#include "freeport.h"

#include <stdexcept>

#include <unistd.h>

#include "gateway/listeningport.h"
#include "net/libevent.h"

namespace ibisfork::soak {

net::Address freePort()
{
    constexpr int first = 11000;
    constexpr int count = 20000;
    constexpr int countPerProcess = 1000;
    static int next = getpid() % (count / countPerProcess) * countPerProcess;
    const auto base = net::makeEventBase();
    for (int tries = 0; tries < count; ++tries) {
        net::Address address{"127.0.0.1", static_cast<std::uint16_t>(first + next++ % count)};
        const gateway::ListeningPort port(base.get(), address, [](evutil_socket_t) {});
        if (port.isOpen()) {
            return address;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace ibisfork::soak
