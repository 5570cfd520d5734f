#include "http/callerbounds.h"

#include <algorithm>

namespace ibisfork::http {

CallerBounds widest(const CallerBounds &left, const CallerBounds &right)
{
    CallerBounds bounds;
    bounds.maxHeadBytes = std::max(left.maxHeadBytes, right.maxHeadBytes);
    bounds.maxBodyBytes = std::max(left.maxBodyBytes, right.maxBodyBytes);
    bounds.headTimeout = std::max(left.headTimeout, right.headTimeout);
    bounds.bodyTimeout = std::max(left.bodyTimeout, right.bodyTimeout);
    bounds.idleTimeout = std::max(left.idleTimeout, right.idleTimeout);
    return bounds;
}

} // namespace ibisfork::http
