#pragma once

#include <string>

#include "settings/gatewaysettings.h"

namespace ibisfork::daemon {

/// Runs a node that takes its facts from the platform's store until it is told to end. SIGHUP reads the settings in
/// @p path again. Throws base::Error.
void runGateway(const settings::GatewaySettings &settings, const std::string &path);

} // namespace ibisfork::daemon
