#pragma once

#include <functional>
#include <map>
#include <string>

#include <ibisfork/base/metrics.h>

#include "admission/admissionqueue.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// What is done with a request that waits for room.
struct WaitingHandlers
{
    /// Tries again; returns whether the request waits no longer.
    std::function<bool()> dispatch;
    std::function<void(base::Duration retryAfter)> refuse;
};

/// Lets requests wait for room and wakes them when some is free.
class AdmissionDesk
{
public:
    AdmissionDesk(event_base *base, base::MetricsRegistry &metrics);

    /// Queues the request or refuses it, or another, at once.
    void wait(const admission::WaitingRequest &request, WaitingHandlers handlers);
    void leave(const std::string &id);
    bool waits(const std::string &workspace, const std::string &kind) const
    {
        return m_queue.hasWaiting(workspace, kind);
    }

    /// A request got room at an upstream, and left it after @p time.
    void started(const std::string &workspace, double share) { m_queue.recordStart(workspace, share); }
    void ended(base::Duration time);

private:
    void serve();
    void refuse(const std::vector<admission::RejectedRequest> &refusals);
    void schedule();

    admission::AdmissionQueue m_queue;
    std::map<std::string, WaitingHandlers> m_handlers;
    base::Counter &m_refused;
    base::Gauge &m_waiting;
    net::Timer m_wake;
    net::Timer m_poll;
};

} // namespace ibisfork::serving
