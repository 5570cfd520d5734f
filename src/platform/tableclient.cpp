#include "platform/tableclient.h"

#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;

Json transactionJson(const Transaction &transaction)
{
    Json conditions = Json::array();
    for (const auto &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    Json writes = Json::array();
    for (const auto &write : transaction.writes) {
        writes.push_back({{"key", write.key}, {"value", write.value ? Json(*write.value) : Json()}});
    }
    return {{"conditions", conditions}, {"writes", writes}};
}

std::optional<StoredRows> rowsFrom(const std::string &body)
{
    try {
        const Json answer = Json::parse(body);
        StoredRows rows;
        for (const auto &row : answer.at("rows")) {
            rows[row.at("key").get<std::string>()]
                = {row.at("value").get<std::string>(), row.at("version").get<std::uint64_t>()};
        }
        return rows;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

CommitOutcome commitOutcomeOf(const std::variant<net::HttpResponse, net::HttpFailure> &answer)
{
    if (const auto *failure = std::get_if<net::HttpFailure>(&answer)) {
        return failure->bytesLeft ? CommitOutcome::Unknown : CommitOutcome::NotSent;
    }
    switch (std::get<net::HttpResponse>(answer).head.status) {
    case statusOk:
        return CommitOutcome::Committed;
    case statusConflict:
        return CommitOutcome::Refused;
    default:
        return CommitOutcome::Unknown;
    }
}

} // namespace

TableClient::TableClient(event_base *base, net::Address address, base::Duration timeout)
    : m_base(base)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

void TableClient::commit(const Transaction &transaction, std::function<void(CommitOutcome)> done)
{
    post("/v1/table/commit", transactionJson(transaction).dump(), [done = std::move(done)](const Answer &answer) {
        done(commitOutcomeOf(answer));
    });
}

void TableClient::read(const ReadQuery &query, std::function<void(std::optional<StoredRows>)> done)
{
    const Json body{{"keys", query.keys}, {"prefix", query.prefix}, {"after", query.after}};
    post("/v1/table/read", body.dump(), [done = std::move(done)](const Answer &answer) {
        const auto *response = std::get_if<net::HttpResponse>(&answer);
        done(response != nullptr && response->head.status == statusOk ? rowsFrom(response->body) : std::nullopt);
    });
}

void TableClient::post(const std::string &path, std::string body, std::function<void(const Answer &)> done)
{
    net::HttpRequest request;
    request.method = net::HttpMethod::Post;
    request.path = path;
    request.headers.add("Content-Type", "application/json");
    request.body = std::move(body);
    const auto call = m_nextCall++;
    m_calls[call] = net::fetch(
        m_base, m_address, std::move(request), m_timeout, [this, call, done = std::move(done)](const Answer &answer) {
            const auto finished = std::move(m_calls[call]);
            m_calls.erase(call);
            done(answer);
        });
}

} // namespace ibisfork::platform
