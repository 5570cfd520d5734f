#pragma once

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Commands on single items of the fleet configuration. The argument names the item.
int exceptionAdd(const Invocation &invocation);
int exceptionList(const Invocation &invocation);
int exceptionRemove(const Invocation &invocation);
int versionList(const Invocation &invocation);
int versionWithdraw(const Invocation &invocation);
int domainList(const Invocation &invocation);
int domainTakeOut(const Invocation &invocation);
int domainBringBack(const Invocation &invocation);
int upstreamList(const Invocation &invocation);
int upstreamDrain(const Invocation &invocation);
int upstreamUndrain(const Invocation &invocation);
int nodeList(const Invocation &invocation);

} // namespace ibisfork::ctl
