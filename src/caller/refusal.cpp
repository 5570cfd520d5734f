#include "caller/refusal.h"

#include <nlohmann/json.hpp>

namespace ibisfork::caller {

namespace {

struct RefusalRow
{
    RefusalCode code;
    std::string_view name;
    std::string_view type;
    int status;
};

constexpr std::array<RefusalRow, 18> refusalTable{{
    {RefusalCode::BadRequest, "bad_request", "invalid_request_error", 400},
    {RefusalCode::BadKey, "bad_key", "authentication_error", 401},
    {RefusalCode::NotPermitted, "not_permitted", "permission_error", 403},
    {RefusalCode::NotFound, "not_found", "invalid_request_error", 404},
    {RefusalCode::Overloaded, "overloaded", "overloaded_error", 429},
    {RefusalCode::NoUpstream, "no_upstream", "unavailable_error", 503},
    {RefusalCode::Unconfirmed, "unconfirmed", "unavailable_error", 503},
    {RefusalCode::Draining, "draining", "unavailable_error", 503},
    {RefusalCode::DeadlinePassed, "deadline_passed", "timeout_error", 504},
    {RefusalCode::UpstreamFailed, "upstream_failed", "upstream_error", 502},
    {RefusalCode::VersionWithdrawn, "version_withdrawn", "session_error", 410},
    {RefusalCode::KeyReused, "idempotency_key_reused", "invalid_request_error", 422},
    {RefusalCode::InProgress, "in_progress", "conflict_error", 409},
    {RefusalCode::Poison, "poison", "invalid_request_error", 422},
    {RefusalCode::ClaimsUnavailable, "claims_unavailable", "unavailable_error", 503},
    {RefusalCode::BadSession, "bad_session", "session_error", 400},
    {RefusalCode::TooLarge, "too_large", "invalid_request_error", 413},
    {RefusalCode::Internal, "internal", "server_error", 500},
}};

const RefusalRow &rowOf(RefusalCode code)
{
    for (const auto &row : refusalTable) {
        if (row.code == code) {
            return row;
        }
    }
    return refusalTable.front();
}

} // namespace

std::string_view nameOf(RefusalCode code)
{
    return rowOf(code).name;
}

std::string refusalBody(const Refusal &refusal)
{
    const auto &row = rowOf(refusal.code);
    // Messages may quote bytes of the request, which need not be valid UTF-8; invalid bytes are replaced.
    return nlohmann::json{{"error",
                           {{"type", row.type},
                            {"code", row.name},
                            {"message", refusal.message},
                            {"run", base::nameOf(runStateNames, refusal.run)}}}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendRefusal(net::HttpReply &reply, const Refusal &refusal, net::HttpHeaders headers)
{
    headers.add("Content-Type", "application/json");
    if (refusal.retryAfterSeconds > 0) {
        headers.add("Retry-After", std::to_string(refusal.retryAfterSeconds));
    }
    reply.send(rowOf(refusal.code).status, headers, refusalBody(refusal));
}

} // namespace ibisfork::caller
