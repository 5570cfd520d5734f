#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace ibisfork::standin {

/// Transactional rows in memory, each with a version that grows with every write.
class Table
{
public:
    /// Applies the transaction if all its conditions hold; returns whether it did.
    bool commit(const nlohmann::json &transaction);
    /// The rows that the query names, at one instant.
    nlohmann::json read(const nlohmann::json &query) const;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    std::map<std::string, Row> m_rows;
    std::uint64_t m_lastVersion = 0;
};

} // namespace ibisfork::standin
