#pragma once

#include <string>

namespace ibisfork::ctl {

/// The text of the file @p path. Throws UsageError if it can't be read.
std::string readTextFile(const std::string &path);

} // namespace ibisfork::ctl
