#pragma once

#include <functional>
#include <map>
#include <string>

#include <ibisfork/base/metrics.h>

#include "admission/admissionqueue.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Callbacks for a request that waits for upstream capacity.
struct WaitingHandlers
{
    /// Tries to dispatch the request; returns whether it has left the queue.
    std::function<bool()> dispatch;
    std::function<void(base::Duration retryAfter)> refuse;
};

/// Queues requests while no upstream has capacity and dispatches them when a request ends or a poll finds capacity.
class AdmissionController
{
public:
    AdmissionController(event_base *base, base::MetricsRegistry &metrics);

    /// Queues @p request. If the queue is full or the deadline can't be met, refuses it or another waiting request at
    /// once.
    void wait(const admission::WaitingRequest &request, WaitingHandlers handlers);
    /// Removes the request @p id from the queue without calling a handler.
    void remove(const std::string &id);
    /// Whether a request of @p workspace and @p kind is queued.
    bool hasWaiting(const std::string &workspace, const std::string &kind) const
    {
        return m_queue.hasWaiting(workspace, kind);
    }

    /// Counts a request that was dispatched to an upstream; @p share is the workspace's weight.
    void recordStart(const std::string &workspace, double share) { m_queue.recordStart(workspace, share); }
    /// Notes that a request released its upstream slot after @p time, and serves the queue.
    void recordEnd(base::Duration time);

private:
    void dispatchWaiting();
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
