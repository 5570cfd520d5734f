#pragma once

#include <string>
#include <vector>

#include <ibisfork/coord/change.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::fleet {

/// Prefixes of the keys of the fleet's rows.
namespace rowprefix {
inline constexpr const char *defaults = "config/defaults";
inline constexpr const char *version = "config/version/";
inline constexpr const char *workspace = "config/workspace/";
inline constexpr const char *upstream = "config/upstream/";
inline constexpr const char *failureDomain = "config/failure-domain/";
inline constexpr const char *exception = "config/exception/";
inline constexpr const char *rollout = "config/rollout/";
inline constexpr const char *sessionKey = "config/session-key/";
inline constexpr const char *poison = "poison/";
inline constexpr const char *member = "member/";
} // namespace rowprefix

/// The typed form of @p snapshot with the exceptions that hold on @p day (YYYY-MM-DD, UTC; all where it is empty).
/// Names that lead nowhere are passed over; throws ConfigError that names the row for one that can't be read.
Config configFromRows(const coord::Snapshot &snapshot, const std::string &day = {});

/// The rows that stand for @p config, whose rules must not hold exceptions yet.
coord::Rows rowsFromConfig(const Config &config);

std::string versionRow(const Version &version);
std::string upstreamRow(const Upstream &upstream);
std::string failureDomainRow(const FailureDomain &domain);
std::string exceptionRow(const Exception &exception);
std::string rolloutRow(const Rollout &rollout);
std::string memberRow(const Member &member);

/// The changes that turn the configuration rows of @p from into @p to; members and roll-outs are left alone.
std::vector<coord::RowChange> difference(const coord::Rows &from, const coord::Rows &to);

} // namespace ibisfork::fleet
