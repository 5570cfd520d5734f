#pragma once

#include "daemon/startsettings.h"

namespace ibisfork::daemon {

/// Runs a node that takes its facts from the platform's store until it is told to end. SIGHUP reads the file of
/// the settings again. Throws base::Error.
void runGateway(const GatewayStart &start);

} // namespace ibisfork::daemon
