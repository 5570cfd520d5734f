#pragma once

#include <condition_variable>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "http.h"

namespace ibisfork::review {

/// The platform's store: rows-tx, rows-get and rows-feed over HTTP, as the platform's page describes them.
class Store
{
public:
    Store();

    int port() const { return m_server.port(); }
    void put(const std::string &table, const std::string &key, const nlohmann::json &document);
    /// The row's document; null if there is none.
    nlohmann::json find(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string data;
        std::uint64_t version = 0;
    };

    bool answer(Connection &connection, const Message &request);
    /// Rows of @p table that are newer than @p version.
    nlohmann::json rowsAfter(const std::string &table, std::uint64_t version);
    nlohmann::json feed(const std::string &target);
    /// Returns the status of the transaction.
    int commit(const nlohmann::json &transaction);
    bool send(Connection &connection, int status, nlohmann::json body);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 1;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    Server m_server;
};

} // namespace ibisfork::review
