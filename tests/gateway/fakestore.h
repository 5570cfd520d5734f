#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gateway/callerport.h"
#include "http/callerconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway::test {

/// How a stand-in of the store treats its callers.
enum class StoreMode { Serving, Refusing, Silent, LosingWriteAnswers };

/// Speaks the store's part of the platform's wire from memory.
class FakeStore
{
public:
    explicit FakeStore(event_base *base);

    net::Address address() const { return m_port.address(); }
    void put(const std::string &table, const std::string &key, const std::string &data);
    void remove(const std::string &table, const std::string &key);
    std::optional<std::string> find(const std::string &table, const std::string &key) const;
    void setMode(StoreMode mode) { m_mode = mode; }
    /// Writes that callers have made.
    std::size_t writes() const { return m_writes; }
    /// The store's clock jumps by @p step; the platform promises that it does not.
    void stepClock(std::chrono::milliseconds step) { m_clockStep += step; }
    /// Changes before now are no longer to be had.
    void dropHistory() { m_historyFrom = m_version; }

private:
    struct Stored
    {
        std::string data;
        std::uint64_t version = 0;
        bool removed = false;
    };

    struct Waiting
    {
        http::CallerConnection *connection;
        std::string table;
        std::uint64_t since = 0;
        std::unique_ptr<net::Timer> timer;
    };

    void accept(evutil_socket_t socket);
    void answer(http::CallerConnection &connection, const http::Request &request);
    void answerRead(http::CallerConnection &connection, const std::string &table);
    void answerFeed(http::CallerConnection &connection, const std::string &target);
    void answerWrite(http::CallerConnection &connection, const std::string &body);
    bool tellChanges(http::CallerConnection &connection, const std::string &table, std::uint64_t since, bool force);
    void wake(const std::string &table);
    void send(http::CallerConnection &connection, int status, nlohmann::json body);
    static std::string parameter(const std::string &target, const std::string &name);
    nlohmann::json row(const std::string &table, const std::string &key, const Stored &stored) const;

    event_base *m_base;
    StoreMode m_mode = StoreMode::Serving;
    std::chrono::milliseconds m_clockStep{0};
    std::uint64_t m_version = 1;
    std::uint64_t m_historyFrom = 0;
    std::size_t m_writes = 0;
    std::map<std::string, std::map<std::string, Stored>> m_tables;
    std::map<http::CallerConnection *, std::unique_ptr<http::CallerConnection>> m_connections;
    std::vector<Waiting> m_waiting;
    ListeningPort m_port;
};

} // namespace ibisfork::gateway::test
