#pragma once

#include <string>

namespace ibisfork::ctl {

/// The value of @p key in a log line of key=value pairs; empty if there is none.
std::string logField(const std::string &line, const std::string &key);

} // namespace ibisfork::ctl
