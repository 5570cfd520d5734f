#include "store.h"

#include <openssl/evp.h>

namespace ibisfork::review {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int conditionFailed = 412;
/// Time that the store takes for an answer.
constexpr double answerTime = 0.004;

std::string toBase64(const std::string &bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out(text.size(), '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    const auto padding = std::count(text.begin(), text.end(), '=');
    out.resize(static_cast<std::size_t>(length - padding));
    return out;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find_first_of("& ", from) - from);
}

} // namespace

Store::Store()
    : m_server([this](Connection &connection, const Message &request) { return answer(connection, request); })
{ }

void Store::put(const std::string &table, const std::string &key, const json &document)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {document.dump(), ++m_version};
    m_changed.notify_all();
}

json Store::find(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto &rows = m_tables[table];
    const auto found = rows.find(key);
    return found == rows.end() ? json() : json::parse(found->second.data);
}

bool Store::answer(Connection &connection, const Message &request)
{
    sleepFor(answerTime);
    const auto &target = request.startLine;
    if (target.find("/rows-get") != std::string::npos) {
        json rows;
        {
            const std::lock_guard lock(m_mutex);
            rows = rowsAfter(parameter(target, "table"), 0);
        }
        return send(connection, ok, {{"rows", rows}, {"hasMore", false}});
    }
    if (target.find("/rows-feed") != std::string::npos) {
        return send(connection, ok, feed(target));
    }
    return send(connection, commit(json::parse(request.body)), json::object());
}

json Store::rowsAfter(const std::string &table, std::uint64_t version)
{
    json rows = json::array();
    for (const auto &[key, row] : m_tables[table]) {
        if (row.version > version) {
            rows.push_back({{"table", table},
                            {"part", ""},
                            {"key", key},
                            {"rowVersion", row.version},
                            {"data", toBase64(row.data)}});
        }
    }
    return rows;
}

json Store::feed(const std::string &target)
{
    const auto table = parameter(target, "table");
    const auto since = std::stoull(parameter(target, "sinceRev"));
    const std::chrono::milliseconds wait(std::stoll(parameter(target, "waitMs")));
    std::unique_lock lock(m_mutex);
    json rows;
    m_changed.wait_for(lock, wait, [&] {
        rows = rowsAfter(table, since);
        return !rows.empty();
    });
    return {{"rows", rows}};
}

int Store::commit(const json &transaction)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &condition : transaction["expectedRev"]) {
        const auto &rows = m_tables[condition["table"]];
        const auto found = rows.find(condition["key"]);
        if ((found == rows.end() ? 0 : found->second.version) != condition["rowVersion"]) {
            return conditionFailed;
        }
    }
    ++m_version;
    for (const auto &item : transaction["write"]) {
        m_tables[item["table"]][item["key"]] = {fromBase64(item["data"]), m_version};
    }
    m_changed.notify_all();
    return ok;
}

bool Store::send(Connection &connection, int status, json body)
{
    constexpr double milliseconds = 1000;
    {
        const std::lock_guard lock(m_mutex);
        body["rowVersion"] = m_version;
    }
    body["nowMs"] = static_cast<std::int64_t>(secondsNow() * milliseconds) + 1000;
    return connection.write(response(status, {{"Store-Era", "1"}, {"Content-Type", "application/json"}}, body.dump()));
}

} // namespace ibisfork::review
