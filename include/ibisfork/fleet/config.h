#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>
#include <ibisfork/coord/change.h>

namespace ibisfork::fleet {

/// A version of a model, written "model@version".
struct VersionId
{
    std::string model;
    std::string version;

    auto operator<=>(const VersionId &) const = default;
    std::string text() const { return model + "@" + version; }
    /// Throws ConfigError if @p text is not of the form model@version.
    static VersionId parse(const std::string &text);
};

enum class VersionState { Active, RollingOut, Withdrawn };
inline constexpr std::array<base::Name<VersionState>, 3> versionStateNames{{
    {VersionState::Active, "active"},
    {VersionState::RollingOut, "rolling-out"},
    {VersionState::Withdrawn, "withdrawn"},
}};

/// A step of a roll-out: its share of the model's fresh requests and how many may run before ratings decide.
struct RolloutStep
{
    double share = 1.0;
    /// Requests fleet-wide; 0 for no cap.
    std::uint32_t cap = 0;

    bool operator==(const RolloutStep &) const = default;
};

/// A model version: what it costs, how good it is expected to be, and whether it may run.
struct Version
{
    VersionId id;
    VersionState state = VersionState::Active;
    double costPerRequest = 1.0;
    double expectedQuality = 1.0;
    /// Share of its model's fresh requests while rolling out, 0 to 1.
    double rolloutShare = 1.0;
    /// Requests that may run fleet-wide before ratings decide; 0 for no cap.
    std::uint32_t exposureCap = 0;
    /// Steps of the roll-out; where empty, one step of rolloutShare and exposureCap.
    std::vector<RolloutStep> rolloutSteps{};
    /// Its engines say at the end of an answer how sure they are of it, so that a cascade can begin with it.
    bool reportsConfidence = false;
};

enum class RolloutState { Running, Halted, Done };
inline constexpr std::array<base::Name<RolloutState>, 3> rolloutStateNames{{
    {RolloutState::Running, "running"},
    {RolloutState::Halted, "halted"},
    {RolloutState::Done, "done"},
}};

/// How far a roll-out has come.
struct Rollout
{
    VersionId version;
    RolloutState state = RolloutState::Running;
    std::uint32_t step = 0;
    /// Counts the times that this roll-out was started or gone on with, so that evidence of one run is not of the next.
    std::uint32_t run = 1;
    /// Requests that each incarnation may give the version in this step, where the step has a cap.
    std::map<std::string, std::uint32_t> allowances;
    /// Why it was halted.
    std::string evidence;
};

enum class UpstreamKind { Engine, Service };
inline constexpr std::array<base::Name<UpstreamKind>, 2> upstreamKindNames{{
    {UpstreamKind::Engine, "engine"},
    {UpstreamKind::Service, "service"},
}};

enum class UpstreamState { Live, Draining };
inline constexpr std::array<base::Name<UpstreamState>, 2> upstreamStateNames{{
    {UpstreamState::Live, "live"},
    {UpstreamState::Draining, "draining"},
}};

/// Requests that an upstream bears at once: cold, warm, and the time from one to the other.
struct ConcurrencyLimit
{
    std::uint32_t cold = 2;
    std::uint32_t warm = 16;
    std::chrono::milliseconds ramp{30000};
};

/// A back end that requests are routed to.
struct Upstream
{
    std::string id;
    UpstreamKind kind = UpstreamKind::Engine;
    UpstreamState state = UpstreamState::Live;
    std::string address;
    std::string failureDomain;
    /// Versions that an engine serves.
    std::vector<VersionId> versions;
    /// The name under which a plain service is called.
    std::string service;
    ConcurrencyLimit limit;
    bool checksFencing = true;
};

enum class DomainState { In, TakenOut };
inline constexpr std::array<base::Name<DomainState>, 2> domainStateNames{{
    {DomainState::In, "in"},
    {DomainState::TakenOut, "taken-out"},
}};

struct FailureDomain
{
    std::string name;
    std::string region;
    DomainState state = DomainState::In;
};

/// What becomes of a session whose version is withdrawn.
enum class WithdrawnSessionRule { End, Move };
inline constexpr std::array<base::Name<WithdrawnSessionRule>, 2> withdrawnSessionRuleNames{{
    {WithdrawnSessionRule::End, "end"},
    {WithdrawnSessionRule::Move, "move"},
}};

/// Rules that hold for a workspace where no exception says otherwise.
struct WorkspaceRules
{
    double qualityTarget = 0.8;
    /// Highest cost of one request, all steps of a cascade together.
    double costBound = 1e9;
    int priority = 1;
    /// Weight of the workspace under overload.
    double share = 1.0;
    WithdrawnSessionRule withdrawnSession = WithdrawnSessionRule::Move;
    bool cascade = true;
};

/// What the numbers of the rules may be.
namespace rulelimit {
inline constexpr double highestCost = 1e12;
inline constexpr double lowestShare = 0.001;
inline constexpr double highestShare = 1000.0;
inline constexpr int lowestPriority = 0;
inline constexpr int highestPriority = 9;
} // namespace rulelimit

/// A customer: its keys, the versions and services it may use, and its rules.
struct Workspace
{
    std::string name;
    /// SHA-256 of each bearer key, in hexadecimal.
    std::vector<std::string> keyHashes;
    std::vector<VersionId> versions;
    std::vector<std::string> services;
    WorkspaceRules rules;
};

/// A departure from the defaults for one workspace, with its written reason.
struct Exception
{
    std::string id;
    std::string workspace;
    std::string field;
    std::string value;
    std::string reason;
    /// Last day it holds, YYYY-MM-DD; empty for no end.
    std::string until;
};

enum class SessionKeyState { Signing, Accepting };
inline constexpr std::array<base::Name<SessionKeyState>, 2> sessionKeyStateNames{{
    {SessionKeyState::Signing, "signing"},
    {SessionKeyState::Accepting, "accepting"},
}};

/// A key that session tokens are signed with, or that is still accepted.
struct SessionKey
{
    std::string id;
    std::string secret;
    SessionKeyState state = SessionKeyState::Accepting;
};

/// A node of the fleet: one process, known by its incarnation.
struct Member
{
    std::string node;
    std::string incarnation;
    std::string peerAddress;
    std::string failureDomain;
    std::string region;
};

/// The typed form of the fleet's rows at one revision.
struct Config
{
    coord::Revision revision = 0;
    WorkspaceRules defaults;
    std::map<VersionId, Version> versions;
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, FailureDomain> failureDomains;
    std::map<std::string, Exception> exceptions;
    std::map<VersionId, Rollout> rollouts;
    std::map<std::string, SessionKey> sessionKeys;
    /// Fingerprints of requests that crash the engines that run them.
    std::set<std::string> poison;
    std::map<std::string, Member> members;
};

} // namespace ibisfork::fleet
