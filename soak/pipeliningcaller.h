#pragma once

#include <deque>
#include <memory>

#include "http/messageparser.h"
#include "soakcaller.h"

namespace ibisfork::soak {

/// Sends several requests at once on one connection and takes their answers in order.
class PipeliningCaller
{
public:
    PipeliningCaller(event_base *base, Ledger &ledger, Balancer &balancer, std::uint64_t seed, std::string name);
    PipeliningCaller(const PipeliningCaller &) = delete;
    PipeliningCaller &operator=(const PipeliningCaller &) = delete;

    void start();
    void stop() { m_stopped = true; }
    bool idle() const { return m_waiting.empty(); }

private:
    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);

    void next();
    void connect();
    std::string newRequest();
    void readMore();
    void answered();
    /// Ends the oldest request that waits.
    void end(int status);
    /// @p byCaller: whether what the waiting requests lost was the caller's doing, or had been announced.
    void endAll(bool byCaller);

    event_base *m_base;
    Ledger &m_ledger;
    Balancer &m_balancer;
    std::mt19937_64 m_random;
    std::string m_name;
    unsigned m_count = 0;
    bool m_stopped = false;
    std::size_t m_node = 0;
    net::BufferEventPtr m_connection;
    std::deque<std::string> m_waiting;
    std::string m_body;
    http::MessageParser m_parser;
    net::Timer m_pause;
    net::Timer m_patience;
};

} // namespace ibisfork::soak
