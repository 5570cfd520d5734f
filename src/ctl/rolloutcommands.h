#pragma once

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Commands on roll-outs. The argument names the version, as model@version.
int rolloutStart(const Invocation &invocation);
int rolloutStep(const Invocation &invocation);
int rolloutHalt(const Invocation &invocation);
int rolloutStatus(const Invocation &invocation);

} // namespace ibisfork::ctl
