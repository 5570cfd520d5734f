#pragma once

#include <string>
#include <vector>

#include <ibisfork/coord/change.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::fleet {

/// What is wrong with @p config as a whole: names that lead nowhere, values out of range, keys that stand twice.
std::vector<std::string> problemsOf(const Config &config);

/// Throws ConfigError with all problems of @p config, one a line.
void checkWhole(const Config &config);

/// Throws ConfigError if @p change holds a row that can't be read, or brings a problem that @p held does not have.
void checkChange(const coord::Rows &held, const std::vector<coord::RowChange> &change);

} // namespace ibisfork::fleet
