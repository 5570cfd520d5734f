#include "http/latebytes.h"

#include "http/upstreamconnection.h"

namespace ibisfork::http {

namespace {

/// Time to read what had arrived. An engine that sends without end must not put its deadline off for longer.
constexpr std::chrono::milliseconds longestDelay{200};

} // namespace

bool LateBytes::mayAwait(const UpstreamConnection &connection, base::TimePoint now)
{
    if (!connection.hasUnread()) {
        return false;
    }
    if (!m_since) {
        m_since = now;
    }
    return now - *m_since < longestDelay;
}

} // namespace ibisfork::http
