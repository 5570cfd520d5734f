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

/// Wall-clock time in seconds, used only for the expiry of sessions: tokens are passed between nodes and survive
/// restarts, and nodes share no other clock. A wrong clock shortens or lengthens sessions and has no other effect.
using WallTime = std::chrono::sys_seconds;
/// The current wall-clock time.
WallTime wallNow();

/// The content of a session token: a sequence of requests that is served by one version.
struct Session
{
    std::string workspace;
    std::string id;
    /// Empty until a version has answered, and after the session's version was withdrawn.
    std::optional<fleet::VersionId> version;
    WallTime issuedAt{};
    WallTime expiresAt{};
};

/// Why a session token was rejected.
enum class SessionError { Malformed, UnknownKey, BadSignature, Expired, WrongWorkspace };
inline constexpr std::array<base::Name<SessionError>, 5> sessionErrorTexts{{
    {SessionError::Malformed, "the session token can't be read"},
    {SessionError::UnknownKey, "the session token is signed with a key that is no longer accepted"},
    {SessionError::BadSignature, "the session token's signature is wrong"},
    {SessionError::Expired, "the session has expired"},
    {SessionError::WrongWorkspace, "the session is another workspace's"},
}};

/// The keys accepted in session tokens, by key id.
using SessionKeys = std::map<std::string, fleet::SessionKey>;

/// The key for signing new tokens, or null if there is none.
const fleet::SessionKey *signingKey(const SessionKeys &keys);

/// A token with the content of @p session, signed with @p key. The session must have a version.
std::string signSession(const Session &session, const fleet::SessionKey &key);

/// The session in @p token if the token is signed with one of @p keys, belongs to @p workspace and has not expired at
/// @p now.
std::variant<Session, SessionError> readSession(const std::string &token,
                                                const SessionKeys &keys,
                                                const std::string &workspace,
                                                WallTime now);

/// A new session with a random id and no version, which starts now.
Session newSession(const std::string &workspace);

/// Extends @p session by the full lifetime from @p now.
void extendSession(Session &session, WallTime now);

} // namespace ibisfork::serving
