#pragma once

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Prints why a request, named by the argument, was routed as it was.
int explain(const Invocation &invocation);

/// Compares the bills in the platform's table with what the fleet's engines ran.
int billsVerify(const Invocation &invocation);

/// Prints what one node that reads the platform's store believes.
int nodeView(const Invocation &invocation);

/// Prints which processes have told one such node what of roll-outs and crashes, and how long ago.
int nodeEvidence(const Invocation &invocation);

/// Prints a picture of the fleet.
int status(const Invocation &invocation);

} // namespace ibisfork::ctl
