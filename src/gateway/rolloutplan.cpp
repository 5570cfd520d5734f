#include "gateway/rolloutplan.h"

#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

std::string encodeRolloutPlan(const RolloutPlan &plan)
{
    nlohmann::json document{
        {"order_row", plan.orderRow.number()}, {"order_era", plan.orderRow.era()}, {"store_ms", plan.startMs}};
    if (plan.fullMs) {
        document["full_ms"] = *plan.fullMs;
    }
    return document.dump();
}

std::optional<RolloutPlan> decodeRolloutPlan(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    const bool complete = document.is_object() && document.contains("order_row") && document.contains("store_ms")
        && document["order_row"].is_number_unsigned()
        && (!document.contains("order_era") || document["order_era"].is_number_unsigned())
        && document["store_ms"].is_number_integer();
    if (!complete) {
        return std::nullopt;
    }
    const auto era = document.value("order_era", 0U);
    RolloutPlan plan{{document["order_row"].get<std::uint64_t>(), era}, document["store_ms"].get<std::int64_t>(), {}};
    if (document.contains("full_ms") && document["full_ms"].is_number_integer()) {
        plan.fullMs = document["full_ms"].get<std::int64_t>();
    }
    return plan;
}

} // namespace ibisfork::gateway
