#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include <ibisfork/base/names.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::serving {

/// Time of day to the second. The expiry of sessions is its only use: tokens pass between nodes and over restarts,
/// which share no other clock. A clock that is off shortens or lengthens a session and harms nothing else.
using WallTime = std::chrono::sys_seconds;
WallTime wallNow();

/// What a session token says.
struct Session
{
    std::string workspace;
    std::string id;
    /// None until a version has answered, or after the held one was withdrawn.
    std::optional<fleet::VersionId> version;
    WallTime issuedAt{};
    WallTime expiresAt{};
};

enum class SessionError { Malformed, UnknownKey, Forged, Expired, OtherWorkspace };
inline constexpr std::array<base::Name<SessionError>, 5> sessionErrorTexts{{
    {SessionError::Malformed, "the session token can't be read"},
    {SessionError::UnknownKey, "the session token is signed with a key that is no longer accepted"},
    {SessionError::Forged, "the session token's signature is wrong"},
    {SessionError::Expired, "the session has expired"},
    {SessionError::OtherWorkspace, "the session is another workspace's"},
}};

using SessionKeys = std::map<std::string, fleet::SessionKey>;

/// The key that new tokens are signed with, or null.
const fleet::SessionKey *signingKey(const SessionKeys &keys);

/// A token of @p session, which must hold a version.
std::string signSession(const Session &session, const fleet::SessionKey &key);

/// The session in @p token if a key of @p keys signed it and it holds for @p workspace at @p now.
std::variant<Session, SessionError> readSession(const std::string &token,
                                                const SessionKeys &keys,
                                                const std::string &workspace,
                                                WallTime now);

/// A session without a version yet, from now on.
Session newSession(const std::string &workspace);

/// Prolongs @p session from @p now.
void renew(Session &session, WallTime now);

} // namespace ibisfork::serving
