#pragma once

#include <optional>
#include <string>

#include "gateway/rows.h"
#include "http/message.h"

namespace ibisfork::gateway {

/// A query of one node to another for the rows of a store table.
struct TableQuery
{
    std::string table;
    /// Requests the changes after this version; not set: all rows.
    std::optional<RowVersion> after;
    /// How long the other node may hold the query until there is a change, or until it has read the table.
    std::chrono::milliseconds wait{0};
    /// Version of the evidence that the asking node knows the other one to have; that one does not hold the query once
    /// it has another. Not set: it doesn't matter.
    std::optional<std::uint64_t> evidenceVersion{};
};

/// HTTP path of these queries; the parameters are in the query string.
inline constexpr const char *tableQueryPath = "/facts";

http::RequestHead encodeQuery(const TableQuery &query, const std::string &host);
/// Returns nullopt if @p target has another path or names no table.
std::optional<TableQuery> decodeQuery(const std::string &target);

std::string encodeRowBatch(const RowBatch &batch);
/// Returns nullopt if @p bytes cannot be parsed.
std::optional<RowBatch> decodeRowBatch(const std::string &bytes);

} // namespace ibisfork::gateway
