#pragma once

#include <array>
#include <string>

#include <ibisfork/base/names.h>

#include "net/httpserver.h"

namespace ibisfork::caller {

/// Whether a request that was not answered may have run.
enum class RunState { NotRun, Unknown };
inline constexpr std::array<base::Name<RunState>, 2> runStateNames{{
    {RunState::NotRun, "not_run"},
    {RunState::Unknown, "unknown"},
}};

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

/// Time to come back after trouble that is usually over at once.
inline constexpr int shortRetryAfterSeconds = 1;

/// An error answer to a caller.
struct Refusal
{
    RefusalCode code = RefusalCode::BadRequest;
    RunState run = RunState::NotRun;
    std::string message;
    /// Seconds after which the caller may come back; 0 for none given.
    int retryAfterSeconds = 0;
};

/// The one JSON shape of errors.
std::string refusalBody(const Refusal &refusal);

/// Answers with @p refusal and the status that belongs to its code.
void sendRefusal(net::HttpReply &reply, const Refusal &refusal, net::HttpHeaders headers);

std::string_view nameOf(RefusalCode code);

} // namespace ibisfork::caller
