#pragma once

#include <array>

#include <ibisfork/base/names.h>

namespace ibisfork::gateway {

/// Why a node calls the store.
enum class StoreCallCause {
    TableRead, ///< One page of all rows of a table.
    TableFeed, ///< Changes of a table.
    NodeRegistration,
    CrashEvidence,
    Conviction,
    RolloutStatus,
    RolloutPlan,
    RolloutEvidence,
};
inline constexpr std::array<base::Name<StoreCallCause>, 8> storeCallCauseNames{{
    {StoreCallCause::TableRead, "table_read"},
    {StoreCallCause::TableFeed, "table_feed"},
    {StoreCallCause::NodeRegistration, "node_registration"},
    {StoreCallCause::CrashEvidence, "crash_evidence"},
    {StoreCallCause::Conviction, "conviction"},
    {StoreCallCause::RolloutStatus, "rollout_status"},
    {StoreCallCause::RolloutPlan, "rollout_plan"},
    {StoreCallCause::RolloutEvidence, "rollout_evidence"},
}};

} // namespace ibisfork::gateway
