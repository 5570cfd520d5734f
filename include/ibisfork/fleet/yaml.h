#pragma once

#include <string>

#include <ibisfork/fleet/config.h>

namespace ibisfork::fleet {

/// Reads a fleet configuration document. Throws ConfigError with line and field.
Config configFromYaml(const std::string &text);

} // namespace ibisfork::fleet
