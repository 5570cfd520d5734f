#pragma once

#include <fstream>
#include <string>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// The value of @p key in a log line of key=value pairs; empty if there is none.
std::string logField(const std::string &line, const std::string &key);

/// Opens the log that a command line names. Throws UsageError if it names none or the file can't be read.
std::ifstream openLog(const Invocation &invocation);

} // namespace ibisfork::ctl
