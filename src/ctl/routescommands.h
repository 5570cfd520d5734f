#pragma once

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Checks a configuration of routes and services, as nodes read it from the platform's store, before it is sent, and
/// compares it with the one in force, if that is given.
int routesCheck(const Invocation &invocation);

} // namespace ibisfork::ctl
