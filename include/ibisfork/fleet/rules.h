#pragma once

#include <string>

#include <ibisfork/fleet/config.h>

namespace ibisfork::fleet {

/// @p rules with @p field set from its text. Throws ConfigError for an unknown field or a value that it can't take.
WorkspaceRules withField(WorkspaceRules rules, const std::string &field, const std::string &value);

/// Throws ConfigError unless field, value, reason and end date of @p exception are in order.
void checkException(const Exception &exception);

/// Whether @p exception holds on @p day, YYYY-MM-DD in UTC; an empty day is before every end date.
bool holdsOn(const Exception &exception, const std::string &day);

/// Sets the rules of the workspaces from the exceptions that hold on @p day, in the order of their ids.
void applyExceptions(Config &config, const std::string &day);

/// The day of the system's clock in UTC, YYYY-MM-DD.
std::string today();

} // namespace ibisfork::fleet
