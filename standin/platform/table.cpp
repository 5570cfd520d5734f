#include "table.h"

namespace ibisfork::standin {

using Json = nlohmann::json;

bool Table::commit(const Json &transaction)
{
    for (const auto &condition : transaction.at("conditions")) {
        const auto row = m_rows.find(condition.at("key").get<std::string>());
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        if (version != condition.at("version").get<std::uint64_t>()) {
            return false;
        }
    }
    for (const auto &write : transaction.at("writes")) {
        const auto key = write.at("key").get<std::string>();
        if (write.at("value").is_null()) {
            m_rows.erase(key);
        } else {
            m_rows[key] = {write.at("value").get<std::string>(), ++m_lastVersion};
        }
    }
    return true;
}

Json Table::read(const Json &query) const
{
    Json rows = Json::array();
    const auto add = [&rows](const auto &row) {
        rows.push_back({{"key", row.first}, {"value", row.second.value}, {"version", row.second.version}});
    };
    for (const auto &key : query.at("keys")) {
        const auto row = m_rows.find(key.get<std::string>());
        if (row != m_rows.end()) {
            add(*row);
        }
    }
    const auto prefix = query.at("prefix").get<std::string>();
    if (!prefix.empty()) {
        const auto after = query.at("after").get<std::string>();
        auto row = after.empty() ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; row != m_rows.end() && row->first.starts_with(prefix); ++row) {
            add(*row);
        }
    }
    return {{"rows", rows}};
}

} // namespace ibisfork::standin
