#include "gateway/tablequery.h"

#include <charconv>

#include <fmt/format.h>

#include "gateway/facts.pb.h"

namespace ibisfork::gateway {

namespace {

std::string_view parameter(std::string_view target, std::string_view name)
{
    const auto at = target.find(name);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto value = target.substr(at + name.size());
    return value.substr(0, value.find('&'));
}

std::optional<std::uint64_t> number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size() && !text.empty();
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace

http::RequestHead encodeQuery(const TableQuery &query, const std::string &host)
{
    http::RequestHead head{"GET", fmt::format("{}?table={}", tableQueryPath, query.table), {}};
    if (query.after) {
        head.target += fmt::format("&after={}&era={}", query.after->number(), query.after->era());
    }
    if (query.wait.count() > 0) {
        head.target += fmt::format("&wait_ms={}", query.wait.count());
    }
    if (query.evidenceVersion) {
        head.target += fmt::format("&evidence={}", *query.evidenceVersion);
    }
    head.headers.add("Host", host);
    return head;
}

std::optional<TableQuery> decodeQuery(const std::string &target)
{
    TableQuery query;
    query.table = parameter(target, "table=");
    if (!target.starts_with(tableQueryPath) || query.table.empty()) {
        return std::nullopt;
    }
    if (const auto after = number(parameter(target, "&after="))) {
        const auto era = number(parameter(target, "&era=")).value_or(0);
        query.after = RowVersion(*after, static_cast<std::uint32_t>(era));
    }
    query.wait = std::chrono::milliseconds(number(parameter(target, "&wait_ms=")).value_or(0));
    query.evidenceVersion = number(parameter(target, "&evidence="));
    return query;
}

std::string encodeRowBatch(const RowBatch &batch)
{
    wire::FactAnswer answer;
    for (const auto &row : batch.rows) {
        auto *out = answer.add_rows();
        out->set_key(row.key);
        out->set_data(row.data);
        out->set_version(row.version.number());
        out->set_removed(row.removed);
        out->set_doubtful(row.doubtful);
    }
    answer.set_version(batch.version.number());
    answer.set_era(batch.version.era());
    answer.set_store_now_ms(batch.storeNowMs);
    answer.set_age_ms(static_cast<std::uint32_t>(batch.age.count()));
    answer.set_evidence_version(batch.evidenceVersion);
    return answer.SerializeAsString();
}

std::optional<RowBatch> decodeRowBatch(const std::string &bytes)
{
    wire::FactAnswer answer;
    if (!answer.ParseFromString(bytes)) {
        return std::nullopt;
    }
    RowBatch batch;
    for (const auto &row : answer.rows()) {
        batch.rows.push_back({row.key(), row.data(), {row.version(), answer.era()}, row.removed(), row.doubtful()});
    }
    batch.version = {answer.version(), answer.era()};
    batch.storeNowMs = answer.store_now_ms();
    batch.age = std::chrono::milliseconds(answer.age_ms());
    batch.evidenceVersion = answer.evidence_version();
    return batch;
}

} // namespace ibisfork::gateway
