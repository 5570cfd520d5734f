#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// The lines of @p log that name the request @p id, and those that say what was known of the engines that it met. The
/// order is that of the log.
std::vector<std::string> linesAbout(const std::string &id, std::istream &log);

/// Prints the lines of a saved log that explain a request.
int logExplain(const Invocation &invocation);

} // namespace ibisfork::ctl
