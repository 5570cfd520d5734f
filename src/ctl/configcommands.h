#pragma once

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Commands on the whole fleet configuration. The argument is a YAML file where one is named.
int configCheck(const Invocation &invocation);
int configApply(const Invocation &invocation);
int configDiff(const Invocation &invocation);
int configShow(const Invocation &invocation);
int configHistory(const Invocation &invocation);

} // namespace ibisfork::ctl
