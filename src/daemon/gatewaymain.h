#pragma once

#include "settings/gatewaysettings.h"

namespace ibisfork::daemon {

/// Runs a node that takes its facts from the platform's store until it is told to end. Throws base::Error.
void runGateway(const settings::GatewaySettings &settings);

} // namespace ibisfork::daemon
