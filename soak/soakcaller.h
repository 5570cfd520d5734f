#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "http/upstreamconnection.h"
#include "ledger.h"
#include "net/timer.h"

namespace ibisfork::soak {

/// Where a caller may connect, and by which keys it asks.
class Balancer
{
public:
    virtual ~Balancer() = default;
    struct Choice
    {
        std::size_t node = 0;
        net::Address address;
    };
    /// A node that takes new connections; nothing if none does.
    virtual std::optional<Choice> choose() = 0;
    virtual std::string key() = 0;
};

/// What a caller does that others don't.
enum class Habit {
    Usual,
    LongBodies, ///< Its requests have long bodies.
    ReadsSlowly, ///< It asks for long answers, and takes none of their bytes for a time.
    AsksUnusualEngines, ///< Its requests go to engines that do what few engines do.
};

/// The bytes of request @p id with @p body.
std::string soakRequest(const std::string &id, const Asked &asked, const std::string &body);

/// Sends one request after another, on one connection for as long as the node keeps it.
class SoakCaller
{
public:
    SoakCaller(event_base *base, Ledger &ledger, Balancer &balancer, std::uint64_t seed, std::string name, Habit habit);
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void start();
    /// No further request after the one under way.
    void stop() { m_stopped = true; }
    bool idle() const { return m_id.empty(); }
    /// From its next request on it does as others do.
    void beUsual() { m_habit = Habit::Usual; }

private:
    void next();
    void send();
    /// From the head of its answer on it reads nothing for a while.
    void readLater();
    void answered();
    void failed();
    void timedOut();
    void end(int status);
    void checkAnswer();
    void dropConnection();

    event_base *m_base;
    Ledger &m_ledger;
    Balancer &m_balancer;
    std::mt19937_64 m_random;
    std::string m_name;
    Habit m_habit;
    unsigned m_count = 0;
    bool m_stopped = false;
    std::size_t m_node = 0;
    std::unique_ptr<http::UpstreamConnection> m_connection;
    std::string m_id;
    int m_status = 0;
    bool m_sealed = false;
    std::string m_body;
    net::Timer m_pause;
    net::Timer m_patience;
    net::Timer m_readAgain;
};

} // namespace ibisfork::soak
