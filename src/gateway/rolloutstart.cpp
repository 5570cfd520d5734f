#include "gateway/rolloutstart.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

std::string encodeRolloutStart(const RolloutStart &start)
{
    return nlohmann::json{{"order_row", start.orderRow}, {"store_ms", start.storeMs}}.dump();
}

std::optional<RolloutStart> decodeRolloutStart(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    const bool complete = document.is_object() && document.contains("order_row") && document.contains("store_ms")
        && document["order_row"].is_number_unsigned() && document["store_ms"].is_number_integer();
    if (!complete) {
        return std::nullopt;
    }
    return RolloutStart{document["order_row"].get<std::uint64_t>(), document["store_ms"].get<std::int64_t>()};
}

} // namespace ibisfork::gateway
