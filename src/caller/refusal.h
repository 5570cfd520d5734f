#pragma once

#include <array>
#include <string>

#include <ibisfork/base/names.h>

#include "net/httpserver.h"

namespace ibisfork::caller {

/// Whether an upstream may have executed a request that ended with an error.
enum class RunState { NotRun, Unknown };
inline constexpr std::array<base::Name<RunState>, 2> runStateNames{{
    {RunState::NotRun, "not_run"},
    {RunState::Unknown, "unknown"},
}};

/// Reason for an error response; refusal.cpp maps each code to its wire name, error type and HTTP status.
enum class RefusalCode {
    BadRequest,
    BadKey,
    NotPermitted,
    NotFound,
    Overloaded,
    NoUpstream,
    Unconfirmed,
    Draining,
    DeadlinePassed,
    UpstreamFailed,
    VersionWithdrawn,
    KeyReused,
    InProgress,
    Poison,
    ClaimsUnavailable,
    BadSession,
    TooLarge,
    Internal,
};

/// Retry-After, in seconds, for conditions that are usually short.
inline constexpr int shortRetryAfterSeconds = 1;

/// An error response to a caller.
struct Refusal
{
    RefusalCode code = RefusalCode::BadRequest;
    RunState run = RunState::NotRun;
    std::string message;
    /// Value of the Retry-After header in seconds; 0 omits the header.
    int retryAfterSeconds = 0;
};

/// The JSON body of an error response: an object "error" with type, code, message and run.
std::string refusalBody(const Refusal &refusal);

/// Sends @p refusal as JSON with the HTTP status of its code, and with Retry-After if that is set.
void sendRefusal(net::HttpReply &reply, const Refusal &refusal, net::HttpHeaders headers);

/// The wire name of @p code, for example "bad_request".
std::string_view nameOf(RefusalCode code);

} // namespace ibisfork::caller
