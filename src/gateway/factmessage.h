#pragma once

#include <optional>
#include <string>

#include "gateway/rows.h"
#include "http/message.h"

namespace ibisfork::gateway {

/// A question of one node to another for a table of the store.
struct FactQuestion
{
    std::string table;
    /// All rows are wanted if it is not set, else the changes after this version.
    std::optional<std::uint64_t> after;
    /// How long the other node may wait for a change, or for the table itself where it does not know it yet.
    std::chrono::milliseconds wait{0};
};

/// The path under which nodes answer, with the question in its query.
inline constexpr const char *factsPath = "/facts";

http::RequestHead encodeQuestion(const FactQuestion &question, const std::string &host);
/// Nothing if @p target is no question.
std::optional<FactQuestion> decodeQuestion(const std::string &target);

std::string encodeFacts(const RowBatch &batch);
/// Nothing if @p bytes are no answer.
std::optional<RowBatch> decodeFacts(const std::string &bytes);

} // namespace ibisfork::gateway
